// Writes one file for each kind of journal segment and peer frame, from which fuzzing starts.

#include "Protocol/CellMessages.h"
#include "Protocol/JournalCodec.h"
#include "Protocol/PeerMessages.h"

#include <filesystem>
#include <fstream>

using namespace Cranberrymount;

namespace {

const TaskKey Task{JobId("0123456789abcdef"), 0, 0, 1};

JobAccepted sampleJob()
{
    JobAccepted job;
    job.job = Task.job;
    job.queue = QueueId("queue");
    job.team = TeamId("team");
    job.pool = "pool";
    job.spec.steps.resize(2);
    job.spec.steps[0].taskCount = 3;
    job.spec.steps[1].taskCount = 1;
    job.spec.steps[1].after = {0};
    return job;
}

std::vector<std::string> journalSeeds()
{
    const JobSnapshot snapshot{
        sampleJob(), JobState::Running, {}, {{std::vector<TaskProgress>(3), {TaskProgress()}}}};
    const std::vector<JournalRecord> records{
        sampleJob(), RunAssigned{Task, 1, {WorkerId("worker"), 5}},
        RunEnded{Task, 1, RunOutcome::Failed, "checkpoint"}, snapshot, JobCancelled{Task.job}};
    std::vector<std::string> seeds{encodeJournal(records),
                                   encodeSegment({records, Revision(3), 2})};
    for (const JournalRecord &record : records)
        seeds.push_back(encodeJournal({record}));
    return seeds;
}

std::vector<std::string> peerSeeds()
{
    ClientCall call;
    call.kind = ClientCall::Submit;
    call.spec = sampleJob().spec;
    HoldReply report;
    report.running = {{Task, 1, "checkpoint", 50}};
    report.ended = {{4, Task, 1, RunOutcome::Done, ""}};
    AdviceReply advice;
    advice.allowed = {{WorkerId("worker"), "ticket"}};
    std::vector<std::string> seeds;
    for (const CellMessage &message :
         {CellMessage(HelloMessage()), CellMessage(HeartbeatMessage()), CellMessage(call),
          CellMessage(ClientReply()), CellMessage(AdviceCall()), CellMessage(advice),
          CellMessage(LeftoverEndsMessage{{{Task, 1, RunOutcome::Done, ""}}}),
          CellMessage(HoldCall()), CellMessage(report), CellMessage(StartCall()),
          CellMessage(StopCall())})
        seeds.push_back(encodeCellEnvelope({3, message}));
    Heartbeat heartbeat;
    heartbeat.address = {"127.0.0.1", 1};
    heartbeat.shards.emplace_back();
    for (const PeerMessage &message :
         {PeerMessage(heartbeat), PeerMessage(LookupCall()), PeerMessage(LookupReply()),
          PeerMessage(ControlCall()), PeerMessage(ControlReply())})
        seeds.push_back(encodeEnvelope({3, "", message}));
    return seeds;
}

void write(const std::filesystem::path &folder, const std::vector<std::string> &seeds)
{
    std::filesystem::create_directories(folder);
    for (std::size_t index = 0; index < seeds.size(); ++index)
        std::ofstream(folder / ("seed-" + std::to_string(index)), std::ios::binary) << seeds[index];
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return 2;
    write(std::filesystem::path(argv[1]) / "journal", journalSeeds());
    write(std::filesystem::path(argv[1]) / "peer", peerSeeds());
    return 0;
}
