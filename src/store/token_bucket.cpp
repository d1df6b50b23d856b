// Rate limits.

#include <coltsfootrack/store/token_bucket.hpp>

#include <algorithm>
#include <chrono>

namespace coltsfootrack::store
{

token_bucket::token_bucket(double per_second)
    : per_second_(per_second)
    , level_(per_second)
{
}

bool token_bucket::try_take(double amount, base::time_point now)
{
    refill(now);
    if (level_ < std::min(amount, per_second_))
    {
        return false;
    }
    level_ -= amount;
    return true;
}

void token_bucket::charge(double amount, base::time_point now)
{
    refill(now);
    level_ -= amount;
}

void token_bucket::refill(base::time_point now)
{
    if (started_ && now > last_refill_)
    {
        const std::chrono::duration<double> passed = now - last_refill_;
        level_ = std::min(per_second_, level_ + passed.count() * per_second_);
    }
    last_refill_ = started_ ? std::max(last_refill_, now) : now;
    started_ = true;
}

} // namespace coltsfootrack::store
