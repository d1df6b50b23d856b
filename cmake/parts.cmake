# The library: one static archive of all parts, built from src/<part>/*.cpp.
file(GLOB COLTSFOOTRACK_SOURCES CONFIGURE_DEPENDS
    src/base/*.cpp src/config/*.cpp src/coordination/*.cpp
    src/placement/*.cpp src/routing/*.cpp src/wire/*.cpp src/http/*.cpp
    src/store/*.cpp src/jobs/*.cpp src/fleet/*.cpp)
add_library(coltsfootrack STATIC ${COLTSFOOTRACK_SOURCES})
target_include_directories(coltsfootrack PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
target_link_libraries(coltsfootrack PUBLIC
    absl::status absl::statusor absl::flat_hash_map fmt::fmt
    nlohmann_json::nlohmann_json prometheus-cpp::core OpenSSL::Crypto
    ZLIB::ZLIB
    PkgConfig::MICROHTTPD PkgConfig::CURL Threads::Threads)

# The programs: every source of the part, with main in src/<program>.cpp.
file(GLOB COLTSFOOTRACK_DAEMON_SOURCES CONFIGURE_DEPENDS src/daemon/*.cpp)
list(REMOVE_ITEM COLTSFOOTRACK_DAEMON_SOURCES
    ${PROJECT_SOURCE_DIR}/src/daemon/main.cpp)
add_library(coltsfootrack-daemon STATIC ${COLTSFOOTRACK_DAEMON_SOURCES})
target_link_libraries(coltsfootrack-daemon PUBLIC coltsfootrack)
add_executable(coltsfootrackd src/daemon/main.cpp)
target_compile_definitions(coltsfootrackd PRIVATE
    COLTSFOOTRACK_VERSION="${PROJECT_VERSION}")
target_link_libraries(coltsfootrackd PRIVATE coltsfootrack-daemon)
install(TARGETS coltsfootrackd)

file(GLOB COLTSFOOTRACK_CLI_SOURCES CONFIGURE_DEPENDS src/cli/*.cpp)
if(COLTSFOOTRACK_CLI_SOURCES)
    add_executable(coltsfootrack-cli ${COLTSFOOTRACK_CLI_SOURCES})
    set_target_properties(coltsfootrack-cli PROPERTIES
        OUTPUT_NAME coltsfootrack)
    target_link_libraries(coltsfootrack-cli PRIVATE coltsfootrack)
    install(TARGETS coltsfootrack-cli)
endif()

# The daemon of a cell on the users' platform: the runtime of the cell, and the
# adapter that speaks the platform's protocols.
file(GLOB COLTSFOOTRACK_CELL_SOURCES CONFIGURE_DEPENDS src/cell/*.cpp)
add_library(coltsfootrack-cell STATIC ${COLTSFOOTRACK_CELL_SOURCES})
target_link_libraries(coltsfootrack-cell PUBLIC coltsfootrack-daemon)
file(GLOB COLTSFOOTRACK_PLATFORM_SOURCES CONFIGURE_DEPENDS platform/*.cpp)
list(REMOVE_ITEM COLTSFOOTRACK_PLATFORM_SOURCES
    ${PROJECT_SOURCE_DIR}/platform/main.cpp)
add_library(coltsfootrack-platform STATIC ${COLTSFOOTRACK_PLATFORM_SOURCES})
target_include_directories(coltsfootrack-platform PUBLIC
    ${PROJECT_SOURCE_DIR}/platform)
target_link_libraries(coltsfootrack-platform PUBLIC coltsfootrack-cell)
add_executable(coltsfootrack-celld platform/main.cpp)
target_link_libraries(coltsfootrack-celld PRIVATE coltsfootrack-platform)
install(TARGETS coltsfootrack-celld)

install(TARGETS coltsfootrack EXPORT coltsfootrack-targets)
install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
    PATTERN daemon EXCLUDE)

# The package, so that find_package(coltsfootrack) gives
# coltsfootrack::coltsfootrack.
include(CMakePackageConfigHelpers)
set(COLTSFOOTRACK_PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/coltsfootrack)
install(EXPORT coltsfootrack-targets NAMESPACE coltsfootrack::
    DESTINATION ${COLTSFOOTRACK_PACKAGE_DIR})
configure_package_config_file(cmake/coltsfootrack-config.cmake.in
    ${CMAKE_CURRENT_BINARY_DIR}/coltsfootrack-config.cmake
    INSTALL_DESTINATION ${COLTSFOOTRACK_PACKAGE_DIR})
write_basic_package_version_file(
    ${CMAKE_CURRENT_BINARY_DIR}/coltsfootrack-config-version.cmake
    COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/coltsfootrack-config.cmake
    ${CMAKE_CURRENT_BINARY_DIR}/coltsfootrack-config-version.cmake
    DESTINATION ${COLTSFOOTRACK_PACKAGE_DIR})
