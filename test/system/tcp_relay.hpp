#ifndef COLTSFOOTRACK_TEST_SYSTEM_TCP_RELAY_HPP_INCLUDED
#define COLTSFOOTRACK_TEST_SYSTEM_TCP_RELAY_HPP_INCLUDED

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

namespace coltsfootrack::local_cluster
{

// Forwards TCP connections from a port on loopback to a target. While it is
// cut, connections stay open and no data passes, as if packets were lost; after
// heal, the data that was held back arrives late.
//
// Thread safety: functions that set or end faults may be called from any
// thread.
class tcp_relay
{
public:
    // The target is an address of the form "127.0.0.1:port". Throws
    // std::runtime_error if no port can be opened.
    explicit tcp_relay(std::string target);

    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    // The address to connect to instead of the target.
    std::string address() const;

    void cut()
    {
        cut_ = true;
    }

    // Holds back the data of one direction only, to or from the target.
    void cut_one_way(bool to_target)
    {
        cut_direction_ =
            to_target ? direction::to_target : direction::from_target;
    }

    // Delays all data by this time.
    void delay(std::chrono::milliseconds time)
    {
        delay_ms_ = static_cast<int>(time.count());
    }

    // Resets all open connections.
    void reset()
    {
        reset_ = true;
    }

    // Ends cuts and delays.
    void heal()
    {
        cut_ = false;
        cut_direction_ = direction::none;
        delay_ms_ = 0;
    }

private:
    enum class direction
    {
        none,
        to_target,
        from_target
    };

    void run();
    int connect_target() const;

    std::string target_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> cut_{false};
    std::atomic<direction> cut_direction_{direction::none};
    std::atomic<int> delay_ms_{0};
    std::atomic<bool> reset_{false};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace coltsfootrack::local_cluster

#endif
