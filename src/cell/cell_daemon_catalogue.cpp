// The catalogue of a cell daemon: from the store, or from a peer if the store
// refuses this daemon.

#include <coltsfootrack/base/log.hpp>
#include <coltsfootrack/cell/cell_daemon.hpp>
#include <coltsfootrack/cell/page_budget.hpp>
#include <coltsfootrack/wire/compressed_text.hpp>

#include <utility>

namespace coltsfootrack::cell
{
namespace
{

constexpr std::string_view log_part = "cell";

// The longest catalogue that is taken from a peer, in bytes: one of the
// platform with 4,000 routes has 700 KB.
constexpr std::size_t max_catalogue_bytes = std::size_t(32) * 1024 * 1024;

} // namespace

void cell_daemon::follow_catalogue()
{
    table_follower::hooks callbacks;
    callbacks.on_answer = [this](bool answered)
    {
        // A read that waits for changes is no sample of the store delay.
        record_store_result(answered, election_.store_delay());
        catalogue_heard_at_ =
            answered ? std::optional<base::time_point>(clock_.now())
                     : std::nullopt;
    };
    const auto take = [this](const std::vector<stored_row>& rows)
    {
        for (const stored_row& row : rows)
        {
            if (row.exists() && row.id.key == ports_.catalogue.key)
            {
                apply_catalogue(row.value, row.version, "store");
            }
        }
    };
    callbacks.on_snapshot = take;
    callbacks.on_changes = take;
    catalogue_follower_ = std::make_unique<table_follower>(
        loop_, ports_.store, ports_.catalogue.table,
        std::vector<std::string>{""}, page_budget_for(options_.link_rate, 1),
        options_.follow_wait, std::chrono::milliseconds(0),
        std::move(callbacks));
    catalogue_follower_->start();
}

// In a small cell everyone follows the catalogue: a copy from the store is the
// quickest, and the links carry it.
bool cell_daemon::follows_catalogue() const
{
    return members_.size() <= options_.large_cell_size ||
           catalogue_duty_.follows();
}

void cell_daemon::apply_catalogue(const std::string& document,
                                  std::uint64_t row_version, const char* from)
{
    auto read = ports_.catalogue.read(document);
    if (!read.ok())
    {
        base::log(base::log_level::error, log_part,
                  "Catalogue cannot be parsed. from={} error={}", from,
                  std::string(read.status().message()));
        return;
    }
    const auto known = catalogue();
    if (known && read->version <= known->version)
    {
        return;
    }
    read->source = document;
    catalogue_row_version_ = row_version;
    catalogue_catch_up_.on_catalogue();
    const auto next =
        std::make_shared<const fleet::catalogue>(*std::move(read));
    base::log(base::log_level::info, log_part,
              "Catalogue in force. version={} from={} queues={} teams={}",
              next->version, from, next->queues.size(), next->teams.size());
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        shared_.catalogue = next;
    }
    if (leadership_)
    {
        leadership_->set_catalogue(next);
    }
    // Tells peers that cannot read the store about the newer version.
    send_status();
}

void cell_daemon::handle(const base::daemon_id& peer,
                         const wire::catalogue_request& m)
{
    const auto known = catalogue();
    if (known && m.version < known->version)
    {
        wire::catalogue_copy plain{known->version, known->source, false,
                                   catalogue_row_version_};
        if (m.accepts_compression && catalogue_copy_.version != known->version)
        {
            catalogue_copy_ = plain;
            catalogue_copy_.document = wire::compress_text(known->source);
            catalogue_copy_.compressed = true;
        }
        const wire::catalogue_copy& copy =
            m.accepts_compression ? catalogue_copy_ : plain;
        const bool sent = peers_.send(peer, copy);
        base::log(base::log_level::info, log_part,
                  "Catalogue sent to a peer. peer={} version={} had={} "
                  "bytes={} sent={}",
                  peer.text(), known->version, m.version, copy.document.size(),
                  sent);
    }
}

void cell_daemon::handle(const base::daemon_id& /*peer*/,
                         const wire::catalogue_copy& m)
{
    const auto document =
        m.compressed ? wire::decompress_text(m.document, max_catalogue_bytes)
                     : absl::StatusOr<std::string>(m.document);
    if (!document.ok())
    {
        base::log(base::log_level::error, log_part,
                  "Catalogue of a peer cannot be read. error={}",
                  std::string(document.status().message()));
        return;
    }
    apply_catalogue(*document, m.row_version, "peer");
    const auto known = catalogue();
    if (catalogue_follower_ && known && known->version == m.version)
    {
        catalogue_follower_->skip_to(m.row_version);
    }
}

} // namespace coltsfootrack::cell
