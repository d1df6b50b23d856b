#ifndef COLTSFOOTRACK_STORE_TOKEN_BUCKET_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_TOKEN_BUCKET_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

namespace coltsfootrack::store
{

// A budget per second, of which one second's worth may be used at once.
//
// Thread safety: as a standard container.
class token_bucket
{
public:
    // The bucket is full at the first call. The rate must be positive.
    explicit token_bucket(double per_second);

    // Takes the amount if it is there. An amount above one second's worth is
    // taken from a full bucket, and the excess delays later ones.
    bool try_take(double amount, base::time_point now);

    // Takes the amount in any case, for work that must not be refused.
    void charge(double amount, base::time_point now);

private:
    void refill(base::time_point now);

    double per_second_;
    double level_;
    base::time_point last_;
    bool started_ = false;
};

} // namespace coltsfootrack::store

#endif
