// Tests of the frame decoder: all frames are returned however the byte stream
// is split, and malformed streams give an error.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <vector>

namespace coltsfootrack::wire
{
namespace
{

bool is_protocol_error(const absl::Status& status)
{
    return base::kind_of(status) == base::error_kind::peer_protocol;
}

// Appends the stream in random chunks; returns the frames before any error.
std::vector<std::string> split(frame_decoder& decoder, std::string_view stream,
                               absl::Status& error)
{
    std::vector<std::string> frames;
    while (!stream.empty() && error.ok())
    {
        const auto size = *rc::gen::inRange<std::size_t>(1, 9);
        decoder.append(stream.substr(0, size));
        stream.remove_prefix(std::min(size, stream.size()));
        for (;;)
        {
            auto frame = decoder.next();
            error = frame.status();
            if (!frame.ok() || !*frame)
            {
                break;
            }
            frames.push_back(**frame);
        }
    }
    return frames;
}

} // namespace

class frame_decoder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_decoder_test);
    CPPUNIT_TEST(next_any_division_gives_all_frames);
    CPPUNIT_TEST(finish_truncated_stream_gives_error);
    CPPUNIT_TEST(next_random_bytes_gives_frames_or_error);
    CPPUNIT_TEST(next_length_out_of_range_gives_lasting_error);
    CPPUNIT_TEST(encode_frame_length_out_of_range_gives_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void next_any_division_gives_all_frames()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const auto bodies =
                    *rc::gen::container<std::vector<std::string>>(
                        rc::gen::nonEmpty(rc::gen::string<std::string>()));
                std::string stream;
                for (const std::string& body : bodies)
                {
                    stream += *encode_frame(body);
                }
                frame_decoder decoder;
                absl::Status error;
                RC_ASSERT(split(decoder, stream, error) == bodies);
                RC_ASSERT(error.ok());
                RC_ASSERT(decoder.finish().ok());
            }));
    }

    // Guards against a truncated stream that is taken for a clean end.
    void finish_truncated_stream_gives_error()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                const std::string frame = *encode_frame(
                    *rc::gen::nonEmpty(rc::gen::string<std::string>()));
                const auto kept =
                    *rc::gen::inRange<std::size_t>(1, frame.size());
                frame_decoder decoder;
                absl::Status error;
                RC_ASSERT(split(decoder, frame.substr(0, kept), error).empty());
                RC_ASSERT(error.ok());
                RC_ASSERT(is_protocol_error(decoder.finish()));
            }));
    }

    // Each byte of a random stream is returned in a frame, buffered, or follows
    // an error.
    void next_random_bytes_gives_frames_or_error()
    {
        CPPUNIT_ASSERT(rc::check(
            []
            {
                std::string stream;
                const int parts = *rc::gen::inRange(1, 6);
                for (int i = 0; i < parts; ++i)
                {
                    // Short lengths, so that some frames are complete.
                    stream += std::string(3, '\0');
                    stream += *rc::gen::string<std::string>();
                }
                frame_decoder decoder;
                absl::Status error;
                std::size_t taken = 0;
                for (const auto& frame : split(decoder, stream, error))
                {
                    RC_ASSERT(!frame.empty());
                    taken += frame_prefix_bytes + frame.size();
                }
                if (error.ok())
                {
                    RC_ASSERT(taken + decoder.buffered() == stream.size());
                }
                else
                {
                    RC_ASSERT(is_protocol_error(error));
                }
            }));
    }

    // Guards against a peer that exhausts memory by announcing a huge frame.
    void next_length_out_of_range_gives_lasting_error()
    {
        for (const std::string& prefix :
             {std::string("\x00\x10\x00\x01", 4), std::string(4, '\xff'),
              std::string(4, '\0')})
        {
            frame_decoder decoder;
            decoder.append(prefix);
            CPPUNIT_ASSERT(is_protocol_error(decoder.next().status()));
            decoder.append(*encode_frame("x"));
            CPPUNIT_ASSERT(is_protocol_error(decoder.next().status()));
            CPPUNIT_ASSERT(is_protocol_error(decoder.finish()));
        }
        frame_decoder decoder;
        decoder.append(*encode_frame(std::string(max_frame_bytes, 'x')));
        const auto frame = decoder.next();
        CPPUNIT_ASSERT(frame.ok() && *frame);
        CPPUNIT_ASSERT_EQUAL(max_frame_bytes, (*frame)->size());
    }

    void encode_frame_length_out_of_range_gives_error()
    {
        CPPUNIT_ASSERT(is_protocol_error(encode_frame("").status()));
        CPPUNIT_ASSERT(is_protocol_error(
            encode_frame(std::string(max_frame_bytes + 1, 'x')).status()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_decoder_test);

} // namespace coltsfootrack::wire
