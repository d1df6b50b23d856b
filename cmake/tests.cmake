# One CppUnit program per part, from test/<part>/*.cpp. test/runner.cpp holds
# main; programs print "N passed, N failed" themselves.
add_library(coltsfootrack-test-main OBJECT test/runner.cpp)
target_link_libraries(coltsfootrack-test-main PUBLIC
    coltsfootrack PkgConfig::CPPUNIT rapidcheck)

add_custom_target(unit-tests)
foreach(part base config coordination placement routing wire http store
        daemon cli jobs fleet cell platform)
    file(GLOB sources CONFIGURE_DEPENDS test/${part}/*.cpp)
    if(sources)
        add_executable(test-${part} ${sources})
        target_link_libraries(test-${part} PRIVATE coltsfootrack-test-main)
        target_include_directories(test-${part} PRIVATE test)
        if(part STREQUAL wire)
            # Tests of headers that are not installed.
            target_include_directories(test-wire PRIVATE src)
        endif()
        if(part STREQUAL daemon)
            target_link_libraries(test-daemon PRIVATE coltsfootrack-daemon)
        endif()
        if(part STREQUAL cell)
            target_link_libraries(test-cell PRIVATE coltsfootrack-cell)
        endif()
        if(part STREQUAL platform)
            target_link_libraries(test-platform PRIVATE coltsfootrack-platform)
        endif()
        if(part STREQUAL cli)
            # The tool's sources belong to no library.
            set(tool ${COLTSFOOTRACK_CLI_SOURCES})
            list(FILTER tool EXCLUDE REGEX "src/cli/main\\.cpp$")
            target_sources(test-cli PRIVATE ${tool})
            target_include_directories(test-cli PRIVATE src)
        endif()
        add_dependencies(unit-tests test-${part})
        add_test(NAME ${part} COMMAND test-${part})
        set_tests_properties(${part} PROPERTIES
            TIMEOUT 300 WORKING_DIRECTORY ${CMAKE_BINARY_DIR})
    endif()
endforeach()

# Stand-ins for the platform, workers and runners, one program per folder.
foreach(program platform worker runner cell)
    file(GLOB sources CONFIGURE_DEPENDS test/standins/${program}/*.cpp)
    if(sources)
        add_executable(standin-${program} ${sources})
        target_link_libraries(standin-${program} PRIVATE coltsfootrack)
        target_include_directories(standin-${program} PRIVATE test)
    endif()
endforeach()

# The tests of the store start this program.
add_dependencies(unit-tests standin-platform)

# Benchmarks and measurement programs, one program per source.
file(GLOB benches CONFIGURE_DEPENDS bench/*.cpp)
foreach(source ${benches})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE coltsfootrack benchmark::benchmark)
    target_include_directories(${name} PRIVATE bench test)
endforeach()

# Clusters of real processes: the support library, the demonstration, and the
# tests that start processes.
add_library(coltsfootrack-cluster STATIC
    bench/cluster/child_process.cpp bench/cluster/cluster.cpp
    bench/cluster/fleet_checks.cpp bench/cluster/process_usage.cpp
    bench/cluster/request_load.cpp bench/cluster/sample_ticket.cpp)
target_include_directories(coltsfootrack-cluster PUBLIC bench/cluster)
target_link_libraries(coltsfootrack-cluster PUBLIC coltsfootrack)
add_executable(demo bench/cluster/demo.cpp)
target_link_libraries(demo PRIVATE coltsfootrack-cluster)
add_executable(measure_control bench/cluster/measure_control.cpp)
target_link_libraries(measure_control PRIVATE coltsfootrack-cluster)

# The soak of a cell with real processes and injected faults; tools/soak-cell.
if(NOT COLTSFOOTRACK_SANITIZE)
    add_library(coltsfootrack-soak STATIC test/standins/cluster/cell_cluster.cpp
        test/soak/history_checker.cpp test/system/tcp_relay.cpp)
    target_include_directories(coltsfootrack-soak PUBLIC test test/soak)
    target_link_libraries(coltsfootrack-soak PUBLIC coltsfootrack-cluster)
    add_executable(soak-cell test/soak/main.cpp)
    target_link_libraries(soak-cell PRIVATE coltsfootrack-soak)
    add_dependencies(soak-cell coltsfootrack-celld standin-cell)
    add_executable(soak-starved test/soak/starved_main.cpp)
    target_link_libraries(soak-starved PRIVATE coltsfootrack-soak)
    add_dependencies(soak-starved coltsfootrack-celld standin-cell)
    add_executable(test-soak test/soak/history_checker_test.cpp)
    target_link_libraries(test-soak PRIVATE
        coltsfootrack-test-main coltsfootrack-soak)
    add_executable(measure_cell bench/cluster/measure_cell.cpp)
    target_link_libraries(measure_cell PRIVATE coltsfootrack-soak)
    add_dependencies(measure_cell coltsfootrack-celld standin-cell)
endif()

# The simulation of a cell in virtual time; tools/simulate.
add_library(coltsfootrack-simulation STATIC
    test/simulation/cell_departures.cpp test/simulation/cell_moves.cpp
    test/simulation/cell_simulation.cpp
    test/simulation/standing_progress.cpp test/simulation/store_model.cpp
    test/simulation/worker_model.cpp test/soak/history_checker.cpp)
target_include_directories(coltsfootrack-simulation PUBLIC test)
target_link_libraries(coltsfootrack-simulation PUBLIC coltsfootrack-cell)
add_executable(simulate-cell test/simulation/main.cpp)
target_link_libraries(simulate-cell PRIVATE coltsfootrack-simulation)
add_executable(test-simulation
    test/simulation/simulation_test.cpp
    test/simulation/standing_progress_test.cpp)
target_link_libraries(test-simulation PRIVATE
    coltsfootrack-test-main coltsfootrack-simulation)

# The invariants across real processes. tools/check-system runs each test in a
# process of its own; sanitizers would slow the daemons below their leases.
file(GLOB system_tests CONFIGURE_DEPENDS test/system/*_test.cpp)
if(system_tests AND NOT COLTSFOOTRACK_SANITIZE)
    add_executable(test-system ${system_tests} test/system/fleet_driver.cpp)
    target_link_libraries(test-system PRIVATE
        coltsfootrack-test-main coltsfootrack-soak)
    add_dependencies(test-system coltsfootrackd standin-platform
        standin-worker standin-runner coltsfootrack-celld standin-cell)
endif()
