// Tests of encode and decode: no field is lost, and no buffer of a faulty or
// malicious peer crashes the daemon or gives an invalid message.

#include "generators.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/wire/codec.hpp>
#include <coltsfootrack/wire/peer_generated.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace coltsfootrack::wire
{
namespace
{

bool is_protocol_error(const absl::StatusOr<message>& result)
{
    return !result.ok() &&
           base::kind_of(result.status()) == base::error_kind::peer_protocol;
}

std::string finish(flatbuffers::FlatBufferBuilder& builder, fb::Body type,
                   flatbuffers::Offset<void> body)
{
    builder.Finish(fb::CreatePeer(builder, type, body));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

} // namespace

class codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(codec_test);
    CPPUNIT_TEST(decode_encoded_message_gives_equal_message);
    CPPUNIT_TEST(decode_truncated_buffer_gives_error_or_valid_message);
    CPPUNIT_TEST(decode_mutated_buffer_gives_error_or_valid_message);
    CPPUNIT_TEST(decode_random_bytes_gives_error_or_valid_message);
    CPPUNIT_TEST(decode_out_of_range_fields_gives_error);
    CPPUNIT_TEST(decode_overlapping_teams_gives_error);
    CPPUNIT_TEST(encode_out_of_range_durations_clamps);
    CPPUNIT_TEST_SUITE_END();

    // Decodes at several alignments, and checks that an error is peer_protocol
    // and that an accepted message is equal after another encoding.
    static void check_decode(const std::string& bytes)
    {
        for (std::size_t shift = 0; shift < 3; ++shift)
        {
            const std::string moved = std::string(shift, 'x') + bytes;
            const auto result = decode(std::string_view(moved).substr(shift));
            if (!result.ok())
            {
                RC_ASSERT(is_protocol_error(result));
                continue;
            }
            const auto again = decode(encode(*result));
            RC_ASSERT(again.ok());
            RC_ASSERT(*again == *result);
        }
    }

public:
    // Guards against fields that are lost or swapped.
    void decode_encoded_message_gives_equal_message()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const message value = any_message();
                const auto result = decode(encode(value));
                RC_ASSERT(result.ok());
                RC_ASSERT(*result == value);
            }));
    }

    void decode_truncated_buffer_gives_error_or_valid_message()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const std::string bytes = encode(any_message());
                const auto length =
                    *rc::gen::inRange<std::size_t>(0, bytes.size());
                check_decode(bytes.substr(0, length));
            }));
    }

    // Guards against offsets that point outside the buffer.
    void decode_mutated_buffer_gives_error_or_valid_message()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                std::string bytes = encode(any_message());
                const int changes = *rc::gen::inRange(1, 6);
                for (int i = 0; i < changes; ++i)
                {
                    const auto at =
                        *rc::gen::inRange<std::size_t>(0, bytes.size());
                    bytes[at] = *rc::gen::arbitrary<char>();
                }
                check_decode(bytes);
            }));
    }

    void decode_random_bytes_gives_error_or_valid_message()
    {
        CPPUNIT_ASSERT(
            rc::check([] { check_decode(*rc::gen::string<std::string>()); }));
    }

    // Guards against empty ids and negative ages and amounts that reach the
    // state machines.
    void decode_out_of_range_fields_gives_error()
    {
        flatbuffers::FlatBufferBuilder age;
        const auto late = fb::CreateHeartbeat(age, 1, -2).Union();
        CPPUNIT_ASSERT(
            is_protocol_error(decode(finish(age, fb::Body::Heartbeat, late))));

        CPPUNIT_ASSERT(is_protocol_error(
            decode(encode(job_notice{base::zone_id("a1"), {}}))));
        CPPUNIT_ASSERT(is_protocol_error(decode(encode(hello{{}, 1, {}}))));
        const team_usage negative{base::team_id("t"), {-1, 0, 0}};
        CPPUNIT_ASSERT(is_protocol_error(
            decode(encode(usage_report{base::zone_id("a1"), 1, {negative}}))));
    }

    // Guards against a small buffer whose entries share one table, and which
    // would take gigabytes of memory when decoded.
    void decode_overlapping_teams_gives_error()
    {
        flatbuffers::FlatBufferBuilder builder;
        const auto zone = builder.CreateString("a1");
        const auto team = builder.CreateString(std::string(10000, 't'));
        const auto usage = fb::CreateTeamUsage(builder, team, 1, 1, 1);
        const std::vector<flatbuffers::Offset<fb::TeamUsage>> teams(20000,
                                                                    usage);
        const auto list = builder.CreateVector(teams);
        const auto report =
            fb::CreateUsageReport(builder, zone, 1, list).Union();
        CPPUNIT_ASSERT(is_protocol_error(
            decode(finish(builder, fb::Body::UsageReport, report))));
    }

    void encode_out_of_range_durations_clamps()
    {
        using std::chrono::milliseconds;
        promise_request request;
        request.zone = base::zone_id("a1");
        request.lease = milliseconds(-5);
        auto result = decode(encode(request));
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT(std::get<promise_request>(*result).lease ==
                       milliseconds(0));
        heartbeat beat;
        beat.proof_age = milliseconds(-1);
        result = decode(encode(beat));
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT(std::get<heartbeat>(*result).proof_age ==
                       milliseconds(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(codec_test);

} // namespace coltsfootrack::wire
