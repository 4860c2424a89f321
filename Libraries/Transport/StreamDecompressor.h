#pragma once

#include <cstddef>
#include <string>
#include <string_view>

struct ZSTD_DCtx_s;

namespace Cranberrymount {

/** Decompresses what a StreamCompressor has produced. */
class StreamDecompressor
{
public:
    /** @throws TransportError if libzstd has no memory. */
    StreamDecompressor();
    ~StreamDecompressor();
    StreamDecompressor(const StreamDecompressor &) = delete;
    StreamDecompressor &operator=(const StreamDecompressor &) = delete;

    /**
     * @param part the next part of the stream, as StreamCompressor::compress() returned it.
     * @param maxBytes limit on the size of the result.
     * @throws TransportError if @p part does not continue the stream or its content is larger than
     *         @p maxBytes; the stream can then not be continued.
     */
    std::string decompress(std::string_view part, std::size_t maxBytes);

private:
    ZSTD_DCtx_s *m_context;
};

} // namespace Cranberrymount
