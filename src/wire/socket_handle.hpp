#ifndef COLTSFOOTRACK_WIRE_SOCKET_HANDLE_HPP_INCLUDED
#define COLTSFOOTRACK_WIRE_SOCKET_HANDLE_HPP_INCLUDED

#include <unistd.h>
#include <utility>

namespace coltsfootrack::wire
{

// Owns the file descriptor of a socket or eventfd, or none (-1).
class socket_handle
{
public:
    socket_handle() = default;

    explicit socket_handle(int descriptor)
        : descriptor_(descriptor)
    {
    }

    ~socket_handle()
    {
        reset();
    }

    socket_handle(socket_handle&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }

    socket_handle& operator=(socket_handle&& other) noexcept
    {
        if (this != &other)
        {
            reset();
            descriptor_ = std::exchange(other.descriptor_, -1);
        }
        return *this;
    }

    int descriptor() const
    {
        return descriptor_;
    }

    bool is_open() const
    {
        return descriptor_ >= 0;
    }

    void reset()
    {
        if (is_open())
        {
            close(descriptor_);
            descriptor_ = -1;
        }
    }

private:
    int descriptor_ = -1;
};

} // namespace coltsfootrack::wire

#endif
