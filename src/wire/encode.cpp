// Encodes messages with FlatBuffers.

#include <coltsfootrack/wire/codec.hpp>
#include <coltsfootrack/wire/peer_generated.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <variant>

namespace coltsfootrack::wire
{
namespace
{

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// The body of a message that was written to a builder.
struct encoded_body
{
    fb::Body type;
    Offset<void> offset;
};

template <class Tag>
Offset<flatbuffers::String> text(FlatBufferBuilder& builder,
                                 const base::id<Tag>& id)
{
    return builder.CreateString(id.text());
}

std::int64_t age_ms(const std::optional<std::chrono::milliseconds>& age)
{
    return age ? std::max<std::int64_t>(age->count(), 0) : -1;
}

std::uint32_t lease_ms(std::chrono::milliseconds lease)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        lease.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

// Writes the body of each type of message.
struct body_writer
{
    FlatBufferBuilder& builder;

    encoded_body operator()(const hello& m) const
    {
        const auto daemon = text(builder, m.daemon);
        const auto zone = text(builder, m.zone);
        return {fb::Body::Hello, fb::CreateHello(builder, daemon, m.incarnation,
                                                 zone, m.accepts_compression)
                                     .Union()};
    }

    encoded_body operator()(const heartbeat& m) const
    {
        return {fb::Body::Heartbeat,
                fb::CreateHeartbeat(builder, m.config_sequence,
                                    age_ms(m.proof_age), m.membership_version,
                                    m.owner_epoch, m.acting_owner,
                                    m.load_permille)
                    .Union()};
    }

    encoded_body operator()(const promise_request& m) const
    {
        const auto zone = text(builder, m.zone);
        return {fb::Body::PromiseRequest,
                fb::CreatePromiseRequest(builder, zone, m.epoch,
                                         m.owner_incarnation, lease_ms(m.lease),
                                         m.nonce)
                    .Union()};
    }

    encoded_body operator()(const promise_answer& m) const
    {
        const auto zone = text(builder, m.zone);
        return {
            fb::Body::PromiseAnswer,
            fb::CreatePromiseAnswer(builder, zone, m.epoch, m.granted, m.nonce)
                .Union()};
    }

    encoded_body operator()(const freshness_query& m) const
    {
        return {fb::Body::FreshnessQuery,
                fb::CreateFreshnessQuery(builder, m.nonce).Union()};
    }

    encoded_body operator()(const freshness_answer& m) const
    {
        return {fb::Body::FreshnessAnswer,
                fb::CreateFreshnessAnswer(builder, m.nonce, m.config_sequence,
                                          age_ms(m.proof_age), m.acceptor,
                                          m.membership_version, m.in_doubt)
                    .Union()};
    }

    encoded_body operator()(const config_notice& m) const
    {
        return {fb::Body::ConfigNotice,
                fb::CreateConfigNotice(builder, m.sequence).Union()};
    }

    encoded_body operator()(const job_notice& m) const
    {
        const auto zone = text(builder, m.zone);
        const auto job = text(builder, m.job);
        return {fb::Body::JobNotice,
                fb::CreateJobNotice(builder, zone, job).Union()};
    }

    encoded_body operator()(const usage_report& m) const
    {
        const auto zone = text(builder, m.zone);
        std::vector<Offset<fb::TeamUsage>> teams;
        teams.reserve(m.teams.size());
        for (const team_usage& usage : m.teams)
        {
            const auto team = text(builder, usage.team);
            teams.push_back(fb::CreateTeamUsage(
                builder, team, usage.used.cpu_milli, usage.used.memory_mb,
                usage.used.accelerators));
        }
        const auto list = builder.CreateVector(teams);
        return {fb::Body::UsageReport,
                fb::CreateUsageReport(builder, zone, m.epoch, list).Union()};
    }

    encoded_body operator()(const cell_status& m) const
    {
        const auto leader = text(builder, m.leader);
        std::vector<Offset<fb::QueueCount>> queues;
        queues.reserve(m.queues.size());
        for (const queue_count& count : m.queues)
        {
            const auto name = builder.CreateString(count.queue);
            queues.push_back(
                fb::CreateQueueCount(builder, name, count.waiting));
        }
        const auto list = builder.CreateVector(queues);
        return {fb::Body::CellStatus,
                fb::CreateCellStatus(
                    builder, m.epoch, leader, m.leading, m.stopping,
                    age_ms(m.store_age), age_ms(m.leader_age),
                    lease_ms(m.store_delay), m.catalogue_version, list,
                    m.processor_milli, age_ms(m.clock), m.queues_known,
                    age_ms(m.catalogue_age))
                    .Union()};
    }

    encoded_body operator()(const catalogue_copy& m) const
    {
        const auto document = builder.CreateString(m.document);
        return {fb::Body::CatalogueCopy,
                fb::CreateCatalogueCopy(builder, m.version, document,
                                        m.compressed, m.row_version)
                    .Union()};
    }

    encoded_body operator()(const job_copy& m) const
    {
        const auto job = text(builder, m.job);
        const auto row = builder.CreateString(m.row);
        return {fb::Body::JobCopy,
                fb::CreateJobCopy(builder, job, row).Union()};
    }

    encoded_body operator()(const cancel_notice& m) const
    {
        const auto job = text(builder, m.job);
        return {fb::Body::CancelNotice,
                fb::CreateCancelNotice(builder, job).Union()};
    }

    encoded_body operator()(const state_query& m) const
    {
        const auto job = text(builder, m.job);
        return {fb::Body::StateQuery,
                fb::CreateStateQuery(builder, m.nonce, job).Union()};
    }

    encoded_body operator()(const state_answer& m) const
    {
        const auto state = builder.CreateString(m.state);
        return {fb::Body::StateAnswer,
                fb::CreateStateAnswer(builder, m.nonce, state).Union()};
    }

    encoded_body operator()(const ticket_query& m) const
    {
        const auto job = text(builder, m.job);
        std::vector<Offset<flatbuffers::String>> workers;
        workers.reserve(m.workers.size());
        for (const base::worker_id& worker : m.workers)
        {
            workers.push_back(text(builder, worker));
        }
        const auto list = builder.CreateVector(workers);
        return {fb::Body::TicketQuery,
                fb::CreateTicketQuery(builder, m.nonce, job, m.occurrence,
                                      m.step, lease_ms(m.limit), list)
                    .Union()};
    }

    encoded_body operator()(const ticket_answer& m) const
    {
        std::vector<Offset<fb::TicketGrant>> grants;
        grants.reserve(m.grants.size());
        for (const granted_ticket& grant : m.grants)
        {
            const auto worker = text(builder, grant.worker);
            const auto ticket = builder.CreateString(grant.ticket);
            grants.push_back(fb::CreateTicketGrant(builder, worker, ticket));
        }
        const auto list = builder.CreateVector(grants);
        return {
            fb::Body::TicketAnswer,
            fb::CreateTicketAnswer(builder, m.nonce, m.answered, list).Union()};
    }

    encoded_body operator()(const relay_request& m) const
    {
        const auto job = text(builder, m.job);
        const auto row = builder.CreateString(m.row);
        const auto right = builder.CreateString(m.cancel_right);
        return {
            fb::Body::RelayRequest,
            fb::CreateRelayRequest(builder, m.nonce, job, row, right).Union()};
    }

    encoded_body operator()(const relay_answer& m) const
    {
        const auto error = builder.CreateString(m.error);
        return {fb::Body::RelayAnswer,
                fb::CreateRelayAnswer(builder, m.nonce, error).Union()};
    }

    encoded_body operator()(const catalogue_request& m) const
    {
        return {fb::Body::CatalogueRequest,
                fb::CreateCatalogueRequest(builder, m.version,
                                           m.accepts_compression)
                    .Union()};
    }

    encoded_body operator()(const worker_call& m) const
    {
        const auto worker = text(builder, m.worker);
        const auto address = builder.CreateString(m.address);
        const auto job = text(builder, m.run.job);
        const auto payload = builder.CreateString(m.payload);
        const auto checkpoint = builder.CreateString(m.checkpoint);
        const auto ticket = builder.CreateString(m.ticket);
        return {fb::Body::WorkerCall,
                fb::CreateWorkerCall(
                    builder, m.nonce, static_cast<std::uint8_t>(m.kind), worker,
                    address, m.epoch, job, m.run.occurrence, m.run.step,
                    m.run.task, m.run.run, payload, checkpoint, ticket,
                    age_ms(m.lease_end), m.acknowledged, lease_ms(m.wait),
                    m.pace_percent, age_ms(m.send_by))
                    .Union()};
    }

    encoded_body operator()(const worker_answer& m) const
    {
        std::vector<Offset<fb::ReportedRun>> running;
        running.reserve(m.running.size());
        for (const reported_run& entry : m.running)
        {
            const auto job = text(builder, entry.run.job);
            const auto checkpoint = builder.CreateString(entry.checkpoint);
            running.push_back(fb::CreateReportedRun(
                builder, job, entry.run.occurrence, entry.run.step,
                entry.run.task, entry.run.run, checkpoint, entry.percent,
                entry.load));
        }
        std::vector<Offset<fb::ReportedEnd>> ended;
        ended.reserve(m.ended.size());
        for (const reported_end& entry : m.ended)
        {
            const auto job = text(builder, entry.run.job);
            const auto checkpoint = builder.CreateString(entry.checkpoint);
            ended.push_back(fb::CreateReportedEnd(
                builder, entry.number, job, entry.run.occurrence,
                entry.run.step, entry.run.task, entry.run.run, entry.kind,
                checkpoint));
        }
        const auto runs = builder.CreateVector(running);
        const auto ends = builder.CreateVector(ended);
        return {fb::Body::WorkerAnswer,
                fb::CreateWorkerAnswer(builder, m.nonce, m.taken, m.outcome,
                                       m.life, m.clock.count(), runs, ends,
                                       m.all_ends)
                    .Union()};
    }
};

} // namespace

std::string encode(const message& value)
{
    FlatBufferBuilder builder(256);
    const encoded_body body = std::visit(body_writer{builder}, value);
    builder.Finish(fb::CreatePeer(builder, body.type, body.offset));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
            builder.GetSize()};
}

} // namespace coltsfootrack::wire
