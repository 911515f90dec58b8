#include "membership/heartbeatcodec.h"

#include "foundation/cbor.h"

namespace turmericsill::membership {

using foundation::Errc;
using foundation::failure;
using foundation::Result;
using nlohmann::json;

// Fields are identified by their position in an array, because field names would make up most of the datagram.
std::string encodeHeartbeat(const Heartbeat& heartbeat)
{
    const json value = json::array(
        { heartbeat.entry, heartbeat.incarnation, heartbeat.sequence, heartbeat.appliedOffset, heartbeat.rosterVersion,
            heartbeat.acknowledgedRosterVersion, heartbeat.logReachable, heartbeat.digestOffset, heartbeat.digest,
            heartbeat.busyInstances, heartbeat.silentEntries, heartbeat.acknowledgedSequence });
    std::string datagram;
    json::to_cbor(value, datagram);
    return datagram;
}

Result<Heartbeat> decodeHeartbeat(std::string_view datagram)
{
    try {
        const json value = foundation::parseCbor(datagram);
        Heartbeat heartbeat;
        std::size_t field = 0;
        value.at(field++).get_to(heartbeat.entry);
        value.at(field++).get_to(heartbeat.incarnation);
        value.at(field++).get_to(heartbeat.sequence);
        value.at(field++).get_to(heartbeat.appliedOffset);
        value.at(field++).get_to(heartbeat.rosterVersion);
        value.at(field++).get_to(heartbeat.acknowledgedRosterVersion);
        value.at(field++).get_to(heartbeat.logReachable);
        value.at(field++).get_to(heartbeat.digestOffset);
        value.at(field++).get_to(heartbeat.digest);
        value.at(field++).get_to(heartbeat.busyInstances);
        value.at(field++).get_to(heartbeat.silentEntries);
        value.at(field++).get_to(heartbeat.acknowledgedSequence);
        return heartbeat;
    } catch (const std::exception& error) {
        return failure(Errc::ProtocolViolation, "heartbeat.decode", {}, error.what());
    }
}

} // namespace turmericsill::membership
