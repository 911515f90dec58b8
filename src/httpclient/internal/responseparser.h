#pragma once

#include "httpclient/internal/responsebudget.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <string>
#include <utility>

namespace turmericsill::httpclient {

/// Parses a response. Keeps its status and body, and its header fields if they are of interest. The body is counted
/// against the budget before it takes memory.
class ResponseParser : public boost::beast::http::basic_parser<false> {
public:
    /// `countedBytes` is what is counted against the budget for the response; both outlive the parser.
    ResponseParser(ResponseBudget& budget, std::size_t& countedBytes, std::size_t maximumBodyBytes, bool keepsFields)
        : budget_(budget)
        , countedBytes_(countedBytes)
        , maximumBodyBytes_(maximumBodyBytes)
        , keepsFields_(keepsFields)
    {
        eager(true);
    }

    unsigned status() const { return status_; }
    const std::string& reason() const { return reason_; }
    unsigned version() const { return version_; }
    boost::beast::http::fields takeFields() { return std::move(fields_); }
    std::string takeBody() { return std::move(body_); }
    void discardBody() { body_ = std::string(); }

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    /// Bodies below this size are not counted: nearly all are, and there are at most as many as connections.
    static constexpr std::size_t freeBodyBytes = 64 << 10;
    /// A body beyond this part of its announced length, or else of its limit, gets memory for the whole of it.
    static constexpr std::size_t reservedBodyShare = 8;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode&) override { }
    void on_response_impl(int status, Text reason, int version, ErrorCode&) override
    {
        status_ = static_cast<unsigned>(status);
        version_ = static_cast<unsigned>(version);
        if (keepsFields_)
            reason_.assign(reason.data(), reason.size());
    }
    // Fields after the body, which the limit of the header does not cover, are not kept.
    void on_field_impl(boost::beast::http::field name, Text nameText, Text value, ErrorCode&) override
    {
        if (keepsFields_ && !is_header_done())
            fields_.insert(name, nameText, value);
    }
    void on_header_impl(ErrorCode&) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& error) override
    {
        if (!length)
            return;
        if (*length > maximumBodyBytes_)
            error = boost::beast::http::error::body_limit;
        else
            maximumBodyBytes_ = static_cast<std::size_t>(*length);
    }
    std::size_t on_body_impl(Text body, ErrorCode& error) override { return append(body, error); }
    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, ErrorCode& error) override { return append(body, error); }
    void on_finish_impl(ErrorCode&) override { }

    std::size_t append(Text body, ErrorCode& error)
    {
        const std::size_t bytes = body_.size() + body.size();
        if (bytes > freeBodyBytes && !budget_.update(countedBytes_, bytes)) {
            error = boost::beast::http::error::body_limit;
            return 0;
        }
        reserve(bytes);
        body_.append(body.data(), body.size());
        return body.size();
    }

    // While a body is moved to more memory, it takes both the old and the new one. Memory that is reserved and not yet
    // used takes none.
    void reserve(std::size_t bytes)
    {
        const std::size_t reservedFrom = maximumBodyBytes_ / reservedBodyShare;
        if (bytes > reservedFrom && body_.capacity() < maximumBodyBytes_)
            body_.reserve(std::max(bytes, maximumBodyBytes_));
    }

    ResponseBudget& budget_;
    std::size_t& countedBytes_;
    std::size_t maximumBodyBytes_;
    bool keepsFields_;
    unsigned status_ = 0;
    unsigned version_ = 0;
    std::string reason_;
    boost::beast::http::fields fields_;
    std::string body_;
};

} // namespace turmericsill::httpclient
