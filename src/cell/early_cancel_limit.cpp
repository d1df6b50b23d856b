// A sliding window over the cancellations of unknown jobs.

#include <coltsfootrack/cell/early_cancel_limit.hpp>

#include <utility>

namespace coltsfootrack::cell
{

bool early_cancel_limit::try_take(const std::string& key,
                                  const cancel_right& right,
                                  base::time_point now)
{
    while (!order_.empty() && now - order_.front().at >= limits_.window)
    {
        erase(order_.front().key);
        order_.pop_front();
    }
    if (counted_.count(key) > 0)
    {
        return true;
    }
    std::string text = encode(right);
    const auto same = by_right_.find(text);
    if (order_.size() >= limits_.most ||
        (same != by_right_.end() && same->second >= limits_.most_of_right))
    {
        return false;
    }
    order_.push_back({now, key});
    ++by_right_[text];
    counted_[key] = std::move(text);
    return true;
}

void early_cancel_limit::give_back(const std::string& key)
{
    if (counted_.count(key) == 0)
    {
        return;
    }
    erase(key);
    for (auto it = order_.begin(); it != order_.end(); ++it)
    {
        if (it->key == key)
        {
            order_.erase(it);
            return;
        }
    }
}

void early_cancel_limit::erase(const std::string& key)
{
    const auto found = counted_.find(key);
    if (found == counted_.end())
    {
        return;
    }
    const auto same = by_right_.find(found->second);
    if (--same->second == 0)
    {
        by_right_.erase(same);
    }
    counted_.erase(found);
}

} // namespace coltsfootrack::cell
