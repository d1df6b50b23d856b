// Decodes messages from FlatBuffers.

#include <coltsfootrack/base/error_kind.hpp>
#include <coltsfootrack/wire/codec.hpp>
#include <coltsfootrack/wire/frame_decoder.hpp>
#include <coltsfootrack/wire/peer_generated.hpp>

#include <cstdint>
#include <cstring>
#include <optional>
#include <vector>

namespace coltsfootrack::wire
{
namespace
{

absl::Status protocol_error(std::string_view detail)
{
    return base::make_error(base::error_kind::peer_protocol, detail);
}

// Reads the fields of a verified buffer and records the first invalid one.
class field_reader
{
public:
    template <class Id>
    Id id(const flatbuffers::String* text, std::string_view field)
    {
        if (text->size() == 0)
        {
            fail(field);
        }
        return Id(text->str());
    }

    // -1 encodes an absent age.
    std::optional<std::chrono::milliseconds> age(std::int64_t ms)
    {
        if (ms == -1)
        {
            return std::nullopt;
        }
        if (ms < 0)
        {
            fail("proof_age_ms");
        }
        return std::chrono::milliseconds(ms);
    }

    void fail(std::string_view field)
    {
        if (status_.ok())
        {
            status_ = protocol_error("invalid field " + std::string(field));
        }
    }

    absl::StatusOr<message> result(message value) const
    {
        if (!status_.ok())
        {
            return status_;
        }
        return value;
    }

private:
    absl::Status status_;
};

absl::StatusOr<message> read(const fb::Hello& m)
{
    field_reader fields;
    hello value;
    value.daemon = fields.id<base::daemon_id>(m.daemon(), "daemon");
    value.incarnation = m.incarnation();
    value.zone = fields.id<base::zone_id>(m.zone(), "zone");
    value.accepts_compression = m.accepts_compression();
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::Heartbeat& m)
{
    field_reader fields;
    heartbeat value;
    value.config_sequence = m.config_sequence();
    value.proof_age = fields.age(m.proof_age_ms());
    value.membership_version = m.membership_version();
    value.owner_epoch = m.owner_epoch();
    value.acting_owner = m.acting_owner();
    value.load_permille = m.load_permille();
    return fields.result(value);
}

absl::StatusOr<message> read(const fb::PromiseRequest& m)
{
    field_reader fields;
    promise_request value;
    value.zone = fields.id<base::zone_id>(m.zone(), "zone");
    value.epoch = m.epoch();
    value.owner_incarnation = m.owner_incarnation();
    value.lease = std::chrono::milliseconds(m.lease_ms());
    value.nonce = m.nonce();
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::PromiseAnswer& m)
{
    field_reader fields;
    promise_answer value;
    value.zone = fields.id<base::zone_id>(m.zone(), "zone");
    value.epoch = m.epoch();
    value.granted = m.granted();
    value.nonce = m.nonce();
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::FreshnessQuery& m)
{
    return message(freshness_query{m.nonce()});
}

absl::StatusOr<message> read(const fb::FreshnessAnswer& m)
{
    field_reader fields;
    freshness_answer value;
    value.nonce = m.nonce();
    value.config_sequence = m.config_sequence();
    value.proof_age = fields.age(m.proof_age_ms());
    value.acceptor = m.acceptor();
    value.membership_version = m.membership_version();
    value.in_doubt = m.in_doubt();
    return fields.result(value);
}

absl::StatusOr<message> read(const fb::ConfigNotice& m)
{
    return message(config_notice{m.sequence()});
}

absl::StatusOr<message> read(const fb::JobNotice& m)
{
    field_reader fields;
    job_notice value;
    value.zone = fields.id<base::zone_id>(m.zone(), "zone");
    value.job = fields.id<base::job_id>(m.job(), "job");
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::UsageReport& m, std::size_t size)
{
    field_reader fields;
    usage_report value;
    value.zone = fields.id<base::zone_id>(m.zone(), "zone");
    value.epoch = m.epoch();
    if (m.teams() == nullptr)
    {
        return fields.result(std::move(value));
    }
    // Offsets may share a table or a string, so that a small buffer could
    // describe a very large list. In the output of encode each entry takes at
    // least this much besides its text.
    constexpr std::size_t min_entry_bytes = 16;
    std::size_t described = 0;
    for (const fb::TeamUsage* entry : *m.teams())
    {
        described += min_entry_bytes + entry->team()->size();
        if (described > size)
        {
            return protocol_error("team entries overlap");
        }
        team_usage usage;
        usage.team = fields.id<base::team_id>(entry->team(), "team");
        usage.used = {entry->cpu_milli(), entry->memory_mb(),
                      entry->accelerators()};
        if (!usage.used.is_valid())
        {
            fields.fail("usage");
        }
        value.teams.push_back(std::move(usage));
    }
    return fields.result(std::move(value));
}

// Offsets may share a table or a string, so that a small buffer could describe
// a very large list. In the output of encode each entry takes at least this
// much besides its texts.
constexpr std::size_t min_entry_bytes = 8;

// Checks that the entries of a list do not describe more than the buffer holds.
class overlap_check
{
public:
    explicit overlap_check(std::size_t size)
        : size_(size)
    {
    }

    // Adds an entry with texts of that size; false if the entries overlap.
    bool add(std::size_t text_bytes)
    {
        described_ += min_entry_bytes + text_bytes;
        return described_ <= size_;
    }

private:
    std::size_t size_;
    std::size_t described_ = 0;
};

std::string text_of(const flatbuffers::String* text)
{
    return text != nullptr ? text->str() : std::string();
}

absl::StatusOr<message> read(const fb::CellStatus& m, std::size_t size)
{
    field_reader fields;
    cell_status value;
    value.epoch = m.epoch();
    value.leader = base::daemon_id(text_of(m.leader()));
    value.leading = m.leading();
    value.stopping = m.stopping();
    value.store_age = fields.age(m.store_age_ms());
    value.leader_age = fields.age(m.leader_age_ms());
    value.store_delay = std::chrono::milliseconds(m.store_delay_ms());
    value.catalogue_version = m.catalogue_version();
    value.processor_milli = m.processor_milli();
    value.clock = fields.age(m.clock_ms());
    value.queues_known = m.queues_known();
    value.catalogue_age = fields.age(m.catalogue_age_ms());
    overlap_check check(size);
    for (std::size_t i = 0; m.queues() != nullptr && i < m.queues()->size();
         ++i)
    {
        const auto* entry =
            m.queues()->Get(static_cast<flatbuffers::uoffset_t>(i));
        if (!check.add(entry->queue()->size()))
        {
            return protocol_error("queue entries overlap");
        }
        value.queues.push_back({entry->queue()->str(), entry->waiting()});
    }
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::CatalogueCopy& m)
{
    return message(catalogue_copy{m.version(), m.document()->str(),
                                  m.compressed(), m.row_version()});
}

absl::StatusOr<message> read(const fb::JobCopy& m)
{
    field_reader fields;
    job_copy value;
    value.job = fields.id<base::job_id>(m.job(), "job");
    value.row = m.row()->str();
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::CancelNotice& m)
{
    field_reader fields;
    cancel_notice value;
    value.job = fields.id<base::job_id>(m.job(), "job");
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::StateQuery& m)
{
    field_reader fields;
    state_query value;
    value.nonce = m.nonce();
    value.job = fields.id<base::job_id>(m.job(), "job");
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::StateAnswer& m)
{
    return message(state_answer{m.nonce(), text_of(m.state())});
}

absl::StatusOr<message> read(const fb::TicketQuery& m, std::size_t size)
{
    field_reader fields;
    ticket_query value;
    value.nonce = m.nonce();
    value.job = fields.id<base::job_id>(m.job(), "job");
    value.occurrence = m.occurrence();
    value.step = m.step();
    value.limit = std::chrono::milliseconds(m.limit_ms());
    overlap_check check(size);
    for (const flatbuffers::String* worker : *m.workers())
    {
        if (!check.add(worker->size()))
        {
            return protocol_error("worker entries overlap");
        }
        value.workers.push_back(fields.id<base::worker_id>(worker, "worker"));
    }
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::TicketAnswer& m, std::size_t size)
{
    field_reader fields;
    ticket_answer value;
    value.nonce = m.nonce();
    value.answered = m.answered();
    overlap_check check(size);
    for (std::size_t i = 0; m.grants() != nullptr && i < m.grants()->size();
         ++i)
    {
        const auto* entry =
            m.grants()->Get(static_cast<flatbuffers::uoffset_t>(i));
        if (!check.add(entry->worker()->size() + entry->ticket()->size()))
        {
            return protocol_error("ticket entries overlap");
        }
        value.grants.push_back(
            {fields.id<base::worker_id>(entry->worker(), "worker"),
             entry->ticket()->str()});
    }
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::RelayRequest& m)
{
    field_reader fields;
    relay_request value;
    value.nonce = m.nonce();
    value.job = fields.id<base::job_id>(m.job(), "job");
    value.row = m.row()->str();
    value.cancel_right = text_of(m.cancel_right());
    return fields.result(std::move(value));
}

absl::StatusOr<message> read(const fb::RelayAnswer& m)
{
    return message(relay_answer{m.nonce(), text_of(m.error())});
}

absl::StatusOr<message> read(const fb::CatalogueRequest& m)
{
    return message(catalogue_request{m.version(), m.accepts_compression()});
}

absl::StatusOr<message> read(const fb::WorkerCall& m)
{
    field_reader fields;
    worker_call value;
    value.nonce = m.nonce();
    if (m.kind() > static_cast<std::uint8_t>(worker_call_kind::pace))
    {
        fields.fail("kind");
    }
    value.kind = static_cast<worker_call_kind>(m.kind());
    value.worker = fields.id<base::worker_id>(m.worker(), "worker");
    value.address = m.address()->str();
    value.epoch = m.epoch();
    value.run = {base::job_id(text_of(m.job())), m.occurrence(), m.step(),
                 m.task(), m.run()};
    value.payload = text_of(m.payload());
    value.checkpoint = text_of(m.checkpoint());
    value.ticket = text_of(m.ticket());
    if (m.lease_end_ms() >= 0)
    {
        value.lease_end = std::chrono::milliseconds(m.lease_end_ms());
    }
    value.acknowledged = m.acknowledged();
    value.wait = std::chrono::milliseconds(m.wait_ms());
    value.pace_percent = m.pace_percent();
    value.send_by = fields.age(m.send_by_ms());
    return fields.result(std::move(value));
}

// The key of a ReportedRun or a ReportedEnd. An empty job id is no error, since
// a worker may list a job that cannot be read.
template <class Entry>
run_key key_of(const Entry& entry)
{
    return {base::job_id(entry.job()->str()), entry.occurrence(), entry.step(),
            entry.task(), entry.run()};
}

absl::StatusOr<message> read(const fb::WorkerAnswer& m, std::size_t size)
{
    worker_answer value;
    value.nonce = m.nonce();
    value.taken = m.taken();
    value.outcome = m.outcome();
    value.life = m.life();
    value.clock = std::chrono::milliseconds(m.clock_ms());
    value.all_ends = m.all_ends();
    overlap_check check(size);
    for (std::size_t i = 0; m.running() != nullptr && i < m.running()->size();
         ++i)
    {
        const auto* entry =
            m.running()->Get(static_cast<flatbuffers::uoffset_t>(i));
        std::string checkpoint = text_of(entry->checkpoint());
        if (!check.add(entry->job()->size() + checkpoint.size()))
        {
            return protocol_error("running entries overlap");
        }
        value.running.push_back({key_of(*entry), std::move(checkpoint),
                                 entry->percent(), entry->load()});
    }
    for (std::size_t i = 0; m.ended() != nullptr && i < m.ended()->size(); ++i)
    {
        const auto* entry =
            m.ended()->Get(static_cast<flatbuffers::uoffset_t>(i));
        std::string checkpoint = text_of(entry->checkpoint());
        if (!check.add(entry->job()->size() + checkpoint.size()))
        {
            return protocol_error("ended entries overlap");
        }
        value.ended.push_back({entry->number(), key_of(*entry), entry->kind(),
                               std::move(checkpoint)});
    }
    return message(std::move(value));
}

} // namespace

absl::StatusOr<message> decode(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() > max_frame_bytes)
    {
        return protocol_error("message size out of range");
    }
    // Scalars are read in place, which requires an aligned buffer.
    std::vector<std::uint64_t> aligned((bytes.size() + 7) / 8);
    std::memcpy(aligned.data(), bytes.data(), bytes.size());
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!fb::VerifyPeerBuffer(verifier))
    {
        return protocol_error("malformed message");
    }
    const fb::Peer& peer = *fb::GetPeer(data);
    switch (peer.body_type())
    {
    case fb::Body::Hello:
        return read(*peer.body_as_Hello());
    case fb::Body::Heartbeat:
        return read(*peer.body_as_Heartbeat());
    case fb::Body::PromiseRequest:
        return read(*peer.body_as_PromiseRequest());
    case fb::Body::PromiseAnswer:
        return read(*peer.body_as_PromiseAnswer());
    case fb::Body::FreshnessQuery:
        return read(*peer.body_as_FreshnessQuery());
    case fb::Body::FreshnessAnswer:
        return read(*peer.body_as_FreshnessAnswer());
    case fb::Body::ConfigNotice:
        return read(*peer.body_as_ConfigNotice());
    case fb::Body::JobNotice:
        return read(*peer.body_as_JobNotice());
    case fb::Body::UsageReport:
        return read(*peer.body_as_UsageReport(), bytes.size());
    case fb::Body::CellStatus:
        return read(*peer.body_as_CellStatus(), bytes.size());
    case fb::Body::CatalogueCopy:
        return read(*peer.body_as_CatalogueCopy());
    case fb::Body::JobCopy:
        return read(*peer.body_as_JobCopy());
    case fb::Body::CancelNotice:
        return read(*peer.body_as_CancelNotice());
    case fb::Body::StateQuery:
        return read(*peer.body_as_StateQuery());
    case fb::Body::StateAnswer:
        return read(*peer.body_as_StateAnswer());
    case fb::Body::TicketQuery:
        return read(*peer.body_as_TicketQuery(), bytes.size());
    case fb::Body::TicketAnswer:
        return read(*peer.body_as_TicketAnswer(), bytes.size());
    case fb::Body::RelayRequest:
        return read(*peer.body_as_RelayRequest());
    case fb::Body::RelayAnswer:
        return read(*peer.body_as_RelayAnswer());
    case fb::Body::CatalogueRequest:
        return read(*peer.body_as_CatalogueRequest());
    case fb::Body::WorkerCall:
        return read(*peer.body_as_WorkerCall());
    case fb::Body::WorkerAnswer:
        return read(*peer.body_as_WorkerAnswer(), bytes.size());
    default:
        return protocol_error("unknown message type");
    }
}

} // namespace coltsfootrack::wire
