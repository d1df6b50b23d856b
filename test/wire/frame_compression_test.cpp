// Guards against compressed frames that are lost or changed, and against input
// that makes the decompressor fail or grow without bound.

#include "generators.hpp"
#include "wire/frame_compression.hpp"

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/wire/codec.hpp>
#include <coltsfootrack/wire/compressed_text.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace coltsfootrack::wire
{
namespace
{

// The renewal of a worker with many runs, as peers answer it several times a
// second.
worker_answer report(int first_run)
{
    worker_answer answer;
    answer.taken = true;
    for (int i = first_run; i < first_run + 20; ++i)
    {
        answer.running.push_back(
            {{base::job_id("5c0e7a21d94b36" + std::to_string(10 + i % 80)), 0,
              1, i, 1},
             "",
             40 + i,
             2000.0});
    }
    return answer;
}

} // namespace

class frame_compression_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_compression_test);
    CPPUNIT_TEST(frames_compressed_and_plain_are_read_in_order);
    CPPUNIT_TEST(frames_that_repeat_others_become_several_times_smaller);
    CPPUNIT_TEST(frame_of_any_bytes_is_read_or_an_error);
    CPPUNIT_TEST(frame_too_large_when_decompressed_is_an_error);
    CPPUNIT_TEST(text_compressed_is_several_times_smaller_and_read_back);
    CPPUNIT_TEST(text_of_any_bytes_is_read_or_an_error);
    CPPUNIT_TEST(text_too_long_when_decompressed_is_an_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void frames_compressed_and_plain_are_read_in_order()
    {
        const bool holds = rc::check(
            []
            {
                frame_compressor compressor;
                frame_decoder decoder;
                const int count = *rc::gen::inRange(1, 20);
                std::vector<std::string> bodies;
                std::string stream;
                for (int i = 0; i < count; ++i)
                {
                    bodies.push_back(encode(any_message()));
                    const bool plain = *rc::gen::inRange(0, 4) == 0;
                    stream +=
                        plain ? *encode_frame(bodies.back())
                              : *encode_frame(
                                    compressor.compress(bodies.back()), true);
                }
                std::vector<std::string> read;
                while (!stream.empty())
                {
                    const auto size =
                        *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
                    decoder.append(stream.substr(0, size));
                    stream.erase(0, size);
                    for (auto frame = decoder.next(); frame.ok() && *frame;
                         frame = decoder.next())
                    {
                        read.push_back(**frame);
                    }
                }
                RC_ASSERT(read == bodies);
                RC_ASSERT(decoder.finish().ok());
            });
        CPPUNIT_ASSERT(holds);
    }

    // The load that it answers: a leader on a link of 2 Mbit/s.
    void frames_that_repeat_others_become_several_times_smaller()
    {
        frame_compressor compressor;
        std::size_t plain = 0;
        std::size_t compressed = 0;
        for (int i = 0; i < 50; ++i)
        {
            const std::string body = encode(report(i));
            plain += body.size();
            compressed += compressor.compress(body).size();
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(plain) + " to " +
                                   std::to_string(compressed) + " bytes",
                               compressed * 4 < plain);
    }

    void frame_of_any_bytes_is_read_or_an_error()
    {
        const bool holds = rc::check(
            []
            {
                frame_compressor compressor;
                std::string body = compressor.compress(encode(any_message()));
                const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
                body[at] = *rc::gen::arbitrary<char>();
                body += *rc::gen::string<std::string>();
                frame_decoder decoder;
                decoder.append(*encode_frame(body, true));
                const auto read = decoder.next();
                RC_ASSERT(read.ok() || base::kind_of(read.status()) ==
                                           base::error_kind::peer_protocol);
            });
        CPPUNIT_ASSERT(holds);
    }

    void frame_too_large_when_decompressed_is_an_error()
    {
        frame_compressor compressor;
        const std::string body =
            compressor.compress(std::string(4 * max_frame_bytes, 'x'));
        CPPUNIT_ASSERT(body.size() < max_frame_bytes);
        frame_decoder decoder;
        decoder.append(*encode_frame(body, true));
        CPPUNIT_ASSERT(base::kind_of(decoder.next().status()) ==
                       base::error_kind::peer_protocol);
        // The error is final.
        decoder.append(*encode_frame("x"));
        CPPUNIT_ASSERT(!decoder.next().ok());
    }

    // Guards against full links when a catalogue of thousands of routes
    // changes.
    void text_compressed_is_several_times_smaller_and_read_back()
    {
        std::string text;
        for (int i = 0; i < 4000; ++i)
        {
            text += R"({"host":"h)" + std::to_string(i * 7919 % 100000) +
                    R"(.example","path_prefix":"/p)" + std::to_string(i) +
                    R"(/","service":"s","timeout_ms":3000,"priority":1})";
        }
        const std::string compressed = compress_text(text);
        CPPUNIT_ASSERT(4 * compressed.size() < text.size());
        const auto read = decompress_text(compressed, text.size());
        CPPUNIT_ASSERT(read.ok());
        CPPUNIT_ASSERT(*read == text);
    }

    void text_of_any_bytes_is_read_or_an_error()
    {
        const bool holds = rc::check([](const std::string& bytes)
                                     { (void)decompress_text(bytes, 100000); });
        CPPUNIT_ASSERT(holds);
    }

    void text_too_long_when_decompressed_is_an_error()
    {
        const std::string compressed = compress_text(std::string(10000, 'a'));
        CPPUNIT_ASSERT(decompress_text(compressed, 10000).ok());
        CPPUNIT_ASSERT(
            base::kind_of(decompress_text(compressed, 9999).status()) ==
            base::error_kind::peer_protocol);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_compression_test);

} // namespace coltsfootrack::wire
