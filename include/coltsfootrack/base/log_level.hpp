#ifndef COLTSFOOTRACK_BASE_LOG_LEVEL_HPP_INCLUDED
#define COLTSFOOTRACK_BASE_LOG_LEVEL_HPP_INCLUDED

namespace coltsfootrack::base
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

} // namespace coltsfootrack::base

#endif
