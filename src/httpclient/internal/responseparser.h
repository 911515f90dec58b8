#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <string>
#include <utility>

namespace turmericsill::httpclient {

/// Parses a response. Keeps its status and body; header fields that do not concern the framing are skipped.
class ResponseParser : public boost::beast::http::basic_parser<false> {
public:
    ResponseParser() { eager(true); }

    unsigned status() const { return status_; }
    std::size_t bodyMemory() const { return body_.capacity(); }
    std::string takeBody() { return std::move(body_); }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode&) override { }
    void on_response_impl(int status, Text, int, ErrorCode&) override { status_ = static_cast<unsigned>(status); }
    void on_field_impl(boost::beast::http::field, Text, Text, ErrorCode&) override { }
    void on_header_impl(ErrorCode&) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override { }
    std::size_t on_body_impl(Text body, ErrorCode&) override { return append(body); }
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, ErrorCode&) override { return append(body); }
    void on_finish_impl(ErrorCode&) override { }

    std::size_t append(Text body)
    {
        body_.append(body.data(), body.size());
        return body.size();
    }

    unsigned status_ = 0;
    std::string body_;
};

} // namespace turmericsill::httpclient
