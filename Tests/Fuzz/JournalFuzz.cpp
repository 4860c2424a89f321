// Feeds arbitrary bytes to the decoder of journal segments and applies what it accepts.

#include "Protocol/JournalCodec.h"
#include "Protocol/ProtocolError.h"
#include "State/JobTable.h"

#include <cstddef>
#include <cstdint>

using namespace Cranberrymount;

namespace {

/** Limit on the tasks that are kept; a segment may name more than fit into memory. */
constexpr uint64_t MaxTasks = 100'000;

uint64_t taskCountOf(const JournalRecord &record)
{
    const auto *accepted = std::get_if<JobAccepted>(&record);
    if (const auto *snapshot = std::get_if<JobSnapshot>(&record))
        accepted = &snapshot->accepted;
    if (!accepted)
        return 0;
    uint64_t tasks = accepted->spec.steps.size();
    for (const StepSpec &step : accepted->spec.steps)
        tasks += step.taskCount;
    return tasks * std::max(1U, accepted->spec.occurrences);
}

} // namespace

// The name is given by libFuzzer.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, std::size_t size)
{
    try {
        const std::string bytes(reinterpret_cast<const char *>(data), size);
        JobTable table;
        uint64_t tasks = 0;
        for (const JournalRecord &record : decodeSegment(bytes).records) {
            tasks += taskCountOf(record);
            if (tasks > MaxTasks)
                break;
            table.apply(record, WallTime());
        }
        for (const JobId &job : table.openJobs())
            decodeJournal(encodeJournal({table.snapshot(*table.find(job))}));
    } catch (const ProtocolError &) {
        return 0;
    }
    return 0;
}
