#ifndef COLTSFOOTRACK_STORE_TOKEN_BUCKET_HPP_INCLUDED
#define COLTSFOOTRACK_STORE_TOKEN_BUCKET_HPP_INCLUDED

#include <coltsfootrack/base/clock.hpp>

namespace coltsfootrack::store
{

// A rate limit with a burst of one second's worth.
//
// Thread safety: as a standard container.
class token_bucket
{
public:
    // The bucket is full at the first call. The rate must be positive.
    explicit token_bucket(double per_second);

    // Takes the amount if the bucket holds it. An amount above one second's
    // worth needs a full bucket, and the excess delays later ones.
    bool try_take(double amount, base::time_point now);

    // Takes the amount in any case, for work that must not be refused.
    void charge(double amount, base::time_point now);

private:
    void refill(base::time_point now);

    double per_second_;
    double level_;
    base::time_point last_refill_;
    bool started_ = false;
};

} // namespace coltsfootrack::store

#endif
