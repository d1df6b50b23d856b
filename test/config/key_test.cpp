// Tests of keys: only the exact secret of a granted key of an existing team
// may be accepted.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/config/generated_key.hpp>
#include <coltsfootrack/config/snapshot.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>
#include <string>

namespace coltsfootrack::config
{
namespace
{

// A configuration with one team and the given key.
snapshot::pointer with_key(const team_key& key, bool deleted)
{
    const team owner = {base::team_id("t"), 1, {}, deleted};
    return *snapshot::empty()->apply({1, "operator", {owner, key}}, 1);
}

base::error_kind refusal_of(const snapshot::pointer& value,
                            const std::string& presented)
{
    const auto team = value->authenticate(presented);
    CPPUNIT_ASSERT(!team.ok());
    return base::kind_of(team.status());
}

} // namespace

class key_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(key_test);
    CPPUNIT_TEST(hash_of_known_text_is_sha256);
    CPPUNIT_TEST(key_granted_authenticates_its_team);
    CPPUNIT_TEST(key_withdrawn_is_refused);
    CPPUNIT_TEST(key_changed_anywhere_is_unknown);
    CPPUNIT_TEST(key_object_and_errors_do_not_hold_the_secret);
    CPPUNIT_TEST(key_with_invalid_names_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a hash that other implementations do not compute: the
    // SHA-256 example of FIPS 180-2 for "abc".
    void hash_of_known_text_is_sha256()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff"
                        "61f20015ad"),
            hash_secret("a", "bc"));
    }

    // Guards against a generated key that is refused.
    void key_granted_authenticates_its_team()
    {
        const auto key =
            *generate_key("k", base::team_id("t"), base::seeded_random(1));
        const auto value = with_key(key.object, false);
        CPPUNIT_ASSERT_EQUAL(std::string("t"),
                             value->authenticate(key.plaintext)->text());
        // The object can be written to a ticket and the table and read back.
        CPPUNIT_ASSERT(parse_object(canonical_json(key.object)).ok());
    }

    // Guards against accepting a withdrawn key or one of a deleted team, and
    // against disclosing the state of a key without its secret.
    void key_withdrawn_is_refused()
    {
        auto key =
            *generate_key("k", base::team_id("t"), base::seeded_random(1));
        CPPUNIT_ASSERT(refusal_of(with_key(key.object, true), key.plaintext) ==
                       base::error_kind::key_withdrawn);
        key.object.state = key_state::withdrawn;
        const auto value = with_key(key.object, false);
        CPPUNIT_ASSERT(refusal_of(value, key.plaintext) ==
                       base::error_kind::key_withdrawn);
        CPPUNIT_ASSERT(refusal_of(value, "k.wrong") ==
                       base::error_kind::key_unknown);
        CPPUNIT_ASSERT(refusal_of(value, "") == base::error_kind::key_missing);
    }

    // Guards against a comparison that accepts a similar secret.
    void key_changed_anywhere_is_unknown()
    {
        const auto key =
            *generate_key("k", base::team_id("t"), base::seeded_random(2));
        const auto value = with_key(key.object, false);
        for (std::size_t i = 0; i < key.plaintext.size(); ++i)
        {
            std::string changed = key.plaintext;
            changed[i] = changed[i] == '0' ? '1' : '0';
            CPPUNIT_ASSERT(refusal_of(value, changed) ==
                           base::error_kind::key_unknown);
            if (i > 0)
            {
                CPPUNIT_ASSERT(refusal_of(value, key.plaintext.substr(0, i)) ==
                               base::error_kind::key_unknown);
            }
        }
        for (const std::string& text :
             {key.plaintext + "0", " " + key.plaintext, key.object.hash,
              "k." + key.object.hash, std::string("."), std::string("k."),
              "k." + std::string(100'000, 'a')})
        {
            CPPUNIT_ASSERT(refusal_of(value, text) ==
                           base::error_kind::key_unknown);
        }
    }

    // Guards against a secret in a ticket, the table or a log.
    void key_object_and_errors_do_not_hold_the_secret()
    {
        CPPUNIT_ASSERT(rc::check(
            "the secret stands only in the plain key",
            [](std::uint64_t seed)
            {
                const auto key = *generate_key("k", base::team_id("t"),
                                               base::seeded_random(seed));
                const std::string secret = key.plaintext.substr(2);
                RC_ASSERT(secret.size() == 64U);
                RC_ASSERT(canonical_json(key.object).find(secret) ==
                          std::string::npos);
                const auto refused =
                    snapshot::empty()->authenticate(key.plaintext);
                RC_ASSERT(refused.status().ToString().find(secret) ==
                          std::string::npos);
            }));
    }

    // Guards against a key id with a dot, which separates the id from the
    // secret.
    void key_with_invalid_names_is_refused()
    {
        const auto random = base::seeded_random(3);
        for (const char* id : {"", "a.b", "A", "a b", "-a"})
        {
            CPPUNIT_ASSERT(
                base::kind_of(
                    generate_key(id, base::team_id("t"), random).status()) ==
                base::error_kind::invalid_request);
        }
        CPPUNIT_ASSERT(!generate_key("k", base::team_id(), random).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_test);

} // namespace coltsfootrack::config
