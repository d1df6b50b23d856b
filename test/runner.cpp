// Runs all registered CppUnit tests of one part, or those whose name contains
// the first argument, and prints one line per failure and the totals.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cstdlib>
#include <fmt/core.h>
#include <iostream>
#include <string>

namespace
{

void collect(CppUnit::Test* test, const std::string& filter,
             CppUnit::TestRunner& runner, int& count)
{
    const int children = test->getChildTestCount();
    if (children == 0)
    {
        if (test->getName().find(filter) != std::string::npos)
        {
            runner.addTest(test);
            ++count;
        }
        return;
    }
    for (int i = 0; i < children; ++i)
    {
        collect(test->getChildTestAt(i), filter, runner, count);
    }
}

} // namespace

int main(int argc, char** argv)
{
    // A fixed seed gives the same result on every run; the environment can set
    // another seed.
    setenv("RC_PARAMS", "seed=20261204", 0); // NOLINT(concurrency-mt-unsafe)
    const std::string filter = argc > 1 ? argv[1] : "";
    CppUnit::Test* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    // The runner and the suite would both delete the tests. The process ends
    // right after the run, so neither is destroyed.
    auto* runner = new CppUnit::TestRunner;
    int count = 0;
    collect(all, filter, *runner, count);

    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    runner->run(result);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const int failed = collector.testFailuresTotal();
    fmt::print("{} passed, {} failed\n", collector.runTests() - failed, failed);
    std::cout.flush();
    std::_Exit(failed == 0 && count > 0 ? 0 : 1);
}
