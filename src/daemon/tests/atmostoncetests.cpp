#include "daemon/tests/session.h"

#include <catch2/catch.hpp>

using namespace turmericsill;
using namespace turmericsill::daemon::tests;
using namespace std::chrono_literals;

namespace {

void startFleet(Session& session)
{
    session.startThreeEntries();
    session.declarePool("calls", 2, 1);
    session.run(5s);
    session.world.work = 200ms;
}

/// A key of now whose home under the given entries is `home`.
std::string keyWithHome(Session& session, const std::string& home, const std::vector<std::string>& entries)
{
    for (int number = 0;; ++number) {
        std::string key = std::to_string(session.world.clock.elapsed.count()) + "-" + std::to_string(number);
        if (foundation::rendezvousWinner(key, entries) == home)
            return key;
    }
}

std::string keyWithHome(Session& session, const std::string& home)
{
    return keyWithHome(session, home, session.entry("entry-a").state()->admittedEntries());
}

std::size_t runsOf(const Session& session, const std::string& key)
{
    auto found = session.world.runsByKey.find(key);
    return found == session.world.runsByKey.end() ? 0 : found->second;
}

bool wasTold(const Session& session, const std::string& id, const std::string& outcome)
{
    return session.transcript().find("tells " + id + ": " + outcome) != std::string::npos;
}

void requirePromises(const Session& session) { CHECK(session.brokenPromises() == noBrokenPromise); }

} // namespace

TEST_CASE("at most once: a repeat during the run gets the same answer, through any entry", "[atmostonce]")
{
    for (const std::string home : { "entry-a", "entry-b", "entry-c" }) {
        for (const std::string second : { "entry-a", "entry-b" }) {
            Session session(1);
            startFleet(session);
            const std::string key = keyWithHome(session, home);
            session.entry("entry-a").callWithKey("first", "calls", key, 2s);
            session.run(50ms);
            session.entry(second).callWithKey("second", "calls", key, 2s);
            session.run(1s);
            CHECK(runsOf(session, key) == 1);
            CHECK(wasTold(session, "first", "answered"));
            CHECK(wasTold(session, "second", "answered"));
            requirePromises(session);
        }
    }
}

TEST_CASE("at most once: copies that cross each other on the way run once", "[atmostonce]")
{
    for (foundation::milliseconds gap = 0ms; gap <= 10ms; gap += 1ms) {
        Session session(2);
        startFleet(session);
        const std::string key = keyWithHome(session, "entry-c");
        session.entry("entry-a").callWithKey("first", "calls", key, 2s);
        session.run(gap);
        session.entry("entry-b").callWithKey("second", "calls", key, 2s);
        session.run(1s);
        CHECK(runsOf(session, key) == 1);
        CHECK(session.world.replies["answered"] == 2);
        requirePromises(session);
    }
}

TEST_CASE("at most once: a repeat after the run gets the answer again", "[atmostonce]")
{
    Session session(3);
    startFleet(session);
    const std::string key = keyWithHome(session, "entry-b");
    session.entry("entry-a").callWithKey("first", "calls", key, 2s);
    session.run(1s);
    session.entry("entry-c").callWithKey("second", "calls", key, 2s);
    session.run(1s);
    CHECK(runsOf(session, key) == 1);
    CHECK(wasTold(session, "first", "answered"));
    CHECK(wasTold(session, "second", "answered"));
}

TEST_CASE(
    "at most once: a repeat joins a first copy that is still queued, and may run after it was shed", "[atmostonce]")
{
    Session session(4);
    startFleet(session);
    session.world.work = 10s;
    for (int index = 0; index < 8; ++index)
        session.entry("entry-a").call("busy" + std::to_string(index), "calls", true, 20s);
    session.run(20ms);
    const std::string key = keyWithHome(session, "entry-a");
    session.entry("entry-a").callWithKey("first", "calls", key, 2s);
    session.run(20ms);
    session.entry("entry-b").callWithKey("second", "calls", key, 2s);
    session.run(1s);
    CHECK(wasTold(session, "first", "not-run"));
    CHECK(wasTold(session, "second", "not-run"));
    CHECK(runsOf(session, key) == 0);
    session.run(12s);
    session.world.work = 20ms;
    session.entry("entry-c").callWithKey("third", "calls", key, 2s);
    session.run(1s);
    CHECK(wasTold(session, "third", "answered"));
    CHECK(runsOf(session, key) == 1);
    requirePromises(session);
}

TEST_CASE("at most once: a repeat of a copy whose answer came too late is unknown", "[atmostonce]")
{
    Session session(5);
    startFleet(session);
    const std::string key = keyWithHome(session, "entry-b");
    session.entry("entry-a").callWithKey("first", "calls", key, 100ms);
    session.run(150ms);
    session.entry("entry-c").callWithKey("second", "calls", key, 2s);
    session.run(1s);
    session.entry("entry-c").callWithKey("third", "calls", key, 2s);
    session.run(1s);
    CHECK(wasTold(session, "first", "unknown"));
    CHECK(wasTold(session, "second", "unknown"));
    CHECK(wasTold(session, "third", "unknown"));
    CHECK(runsOf(session, key) == 1);
}

TEST_CASE("at most once: after the home died the truth is unknown, and new keys run again", "[atmostonce]")
{
    for (foundation::milliseconds when = 0ms; when <= 300ms; when += 20ms) {
        Session session(6);
        startFleet(session);
        const std::string key = keyWithHome(session, "entry-b");
        session.entry("entry-a").callWithKey("first", "calls", key, 2s);
        session.run(when);
        session.kill("entry-b");
        session.run(100ms);
        session.entry("entry-c").callWithKey("second", "calls", key, 20s);
        session.run(15s);
        INFO("killed after " << when.count() << " ms\n" << session.transcript());
        CHECK(runsOf(session, key) <= 1);
        CHECK(wasTold(session, "second", "unknown"));
        const std::string fresh = keyWithHome(session, "entry-c");
        session.entry("entry-a").callWithKey("third", "calls", fresh, 2s);
        session.run(1s);
        CHECK(wasTold(session, "third", "answered"));
        requirePromises(session);
    }
}

TEST_CASE("at most once: a paused home that comes back doubles nothing", "[atmostonce]")
{
    for (foundation::milliseconds when = 0ms; when <= 60ms; when += 5ms) {
        Session session(7);
        startFleet(session);
        const std::string key = keyWithHome(session, "entry-b");
        session.entry("entry-a").callWithKey("first", "calls", key, 30s);
        session.run(when);
        session.pause("entry-b");
        session.run(100ms);
        session.entry("entry-c").callWithKey("second", "calls", key, 30s);
        session.run(12s);
        session.resume("entry-b");
        session.run(10s);
        session.entry("entry-b").callWithKey("third", "calls", key, 2s);
        session.run(5s);
        INFO("paused after " << when.count() << " ms\n" << session.transcript());
        CHECK(runsOf(session, key) <= 1);
        requirePromises(session);
    }
}

TEST_CASE("at most once: a newcomer that becomes the home asks the former home", "[atmostonce]")
{
    const std::vector<std::string> four { "entry-a", "entry-b", "entry-c", "entry-d" };
    Session session(8);
    startFleet(session);
    const std::string ran = keyWithHome(session, "entry-d", four);
    session.entry("entry-a").callWithKey("first", "calls", ran, 2s);
    session.run(1s);
    session.addEntry("entry-d");
    session.run(2s);
    REQUIRE(session.entry("entry-a").state()->admittedEntries() == four);
    session.entry("entry-c").callWithKey("second", "calls", ran, 2s);
    session.run(1s);
    CHECK(wasTold(session, "first", "answered"));
    CHECK(wasTold(session, "second", "answered"));
    CHECK(runsOf(session, ran) == 1);
    const std::string fresh = keyWithHome(session, "entry-d", four);
    session.entry("entry-b").callWithKey("third", "calls", fresh, 2s);
    session.run(1s);
    CHECK(wasTold(session, "third", "answered"));
    CHECK(runsOf(session, fresh) == 1);
    requirePromises(session);
}

TEST_CASE("at most once: a key without a time runs in a fresh fleet and once only", "[atmostonce]")
{
    Session session(9);
    startFleet(session);
    for (const std::string id : { "first", "second", "third" }) {
        session.entry("entry-a").callWithKey(id, "calls", "no-time-in-it", 2s);
        session.run(1s);
        CHECK(wasTold(session, id, "answered"));
    }
    CHECK(runsOf(session, "no-time-in-it") == 1);
}

TEST_CASE("at most once: a key older than the journals is unknown", "[atmostonce]")
{
    Session session(10);
    startFleet(session);
    session.run(700s);
    session.entry("entry-a").callWithKey("old", "calls", "9000-old", 2s);
    session.run(3s);
    CHECK(wasTold(session, "old", "unknown"));
    CHECK(runsOf(session, "9000-old") == 0);
}

TEST_CASE("at most once: with the log down and the members in touch keyed requests go on", "[atmostonce]")
{
    Session session(11);
    startFleet(session);
    session.world.setLogDown(true);
    session.run(30s);
    const std::string key = keyWithHome(session, "entry-b");
    session.entry("entry-a").callWithKey("first", "calls", key, 2s);
    session.run(1s);
    CHECK(wasTold(session, "first", "answered"));
    session.kill("entry-c");
    session.run(10s);
    const std::string later = keyWithHome(session, "entry-b");
    session.entry("entry-a").callWithKey("second", "calls", later, 2s);
    session.run(3s);
    CHECK(wasTold(session, "second", "unknown"));
    CHECK(runsOf(session, later) == 0);
}
