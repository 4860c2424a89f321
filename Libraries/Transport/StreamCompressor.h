#pragma once

#include <string>
#include <string_view>

struct ZSTD_CCtx_s;

namespace Cranberrymount {

/** Compresses a stream of messages, each of which can be decompressed as soon as it arrives. */
class StreamCompressor
{
public:
    /** @throws TransportError if libzstd has no memory. */
    StreamCompressor();
    ~StreamCompressor();
    StreamCompressor(const StreamCompressor &) = delete;
    StreamCompressor &operator=(const StreamCompressor &) = delete;

    /**
     * @return the next part of the stream, which holds all of @p bytes.
     * @throws TransportError if libzstd fails.
     */
    std::string compress(std::string_view bytes);

private:
    ZSTD_CCtx_s *m_context;
};

} // namespace Cranberrymount
