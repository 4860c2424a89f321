#include "ClusterSimulation.h"

#include "Protocol/Json.h"

#include <catch2/catch.hpp>

using namespace Cranberrymount;

// Guards against a submitter who waits for as long as the store is down.
TEST_CASE("Repeated submission is answered in time although the store does not record the job",
          "[admission]")
{
    ClusterSimulation::Shape shape;
    shape.zones = shape.entriesPerZone = 1;
    ClusterSimulation cluster(1, shape);
    REQUIRE(cluster.change([](Configuration &configuration) {
        configuration.teams[TeamId("red")] = {
            1.0, Resources{CpuMillis(10'000), MemoryMb(10'000), AcceleratorCount(0)}, {}};
    }));
    cluster.run(Duration(10'000));
    JobSpec spec;
    spec.id = JobId("job");
    spec.team = TeamId("red");
    spec.policy = BatchPolicy();
    spec.tasks = 1;
    spec.perTask = {CpuMillis(1000), MemoryMb(1000), AcceleratorCount(0)};
    ControlPlane &entry = *cluster.controlPlane(0);
    const auto home = entry.chooseHomeFor(spec.perTask, spec.tasks);
    REQUIRE(home);
    cluster.setStoreDown(true);
    std::vector<std::string> answers;
    const ControlCall call{"admit", Json{{"shard", home->value()}, {"spec", spec}}.dump()};
    for (int count = 0; count < 2; ++count)
        entry.control(call,
                      [&answers](const ControlReply &reply) { answers.push_back(reply.body); });
    cluster.run(Duration(2500));
    CHECK(answers == std::vector<std::string>{"unknown", "unknown"});
}
