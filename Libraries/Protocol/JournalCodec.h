#pragma once

#include "State/Workload.h"

#include <string>
#include <vector>

namespace Cranberrymount {

/** @return one journal segment, a FlatBuffer, with @p records in their order. */
std::string encodeJournal(const std::vector<JournalRecord> &records);

/**
 * @return the records of one journal segment.
 * @throws ProtocolError if @p bytes are not an output of encodeJournal().
 */
std::vector<JournalRecord> decodeJournal(const std::string &bytes);

} // namespace Cranberrymount
