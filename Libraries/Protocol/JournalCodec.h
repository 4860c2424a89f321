#pragma once

#include "Protocol/Store.h"
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

/** A segment of the journal as it is stored. */
struct JournalSegment
{
    std::vector<JournalRecord> records;
    /** The claim of the leader that wrote it; 0 in segments of earlier programs. */
    Revision claim;
    /** Segments with lower numbers were removed: one that is still there was written by a copy of a
     * commit that the store executed late, and is not part of the journal. */
    uint64_t floor = 0;
};

/** @return the segment as it is stored: a FlatBuffer, compressed. */
std::string encodeSegment(const JournalSegment &segment);

/**
 * @return a stored segment; earlier programs stored it uncompressed.
 * @throws ProtocolError if @p bytes are not an output of encodeSegment() or encodeJournal().
 */
JournalSegment decodeSegment(const std::string &bytes);

} // namespace Cranberrymount
