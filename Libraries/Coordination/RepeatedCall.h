#pragma once

#include "Coordination/ResendPolicy.h"
#include "Transport/ScopedTimers.h"

#include <glog/logging.h>

#include <functional>
#include <memory>
#include <optional>

namespace Cranberrymount {

/**
 * A call to the store that may be executed several times. It is sent again while it has no answer,
 * and earlier copies stay open meanwhile; the first answer ends it.
 */
template <typename Answer>
class RepeatedCall : public std::enable_shared_from_this<RepeatedCall<Answer>>
{
public:
    /** Gets no value if there was no answer. */
    using Done = std::function<void(std::optional<Answer>)>;
    /** Sends one copy, whose answer goes to @p done. */
    using Send = std::function<void(Done done)>;

    struct Terms
    {
        ScopedTimers &timers;
        ResendPolicy &resends;
        /** Names the call in the log. */
        const char *name;
        /** How often the call is sent at most. */
        uint32_t maxCopies;
    };

    /** Sends the call until @p done is called, which happens once. */
    static void begin(const Terms &terms, Send send, Done done)
    {
        const std::shared_ptr<RepeatedCall> call(
            new RepeatedCall(terms, std::move(send), std::move(done)));
        call->sendCopy();
    }

private:
    RepeatedCall(const Terms &terms, Send send, Done done)
        : m_terms(terms)
        , m_send(std::move(send))
        , m_done(std::move(done))
    {
    }

    void sendCopy()
    {
        ++m_copies;
        ++m_open;
        m_send([self = this->shared_from_this(), sentAt = m_terms.timers.now()](
                   std::optional<Answer> answer) { self->handle(sentAt, std::move(answer)); });
        awaitAnswer();
    }

    void handle(Instant sentAt, std::optional<Answer> answer)
    {
        --m_open;
        if (m_isOver)
            return;
        if (answer)
            m_terms.resends.recordResponse(
                std::chrono::duration_cast<Duration>(m_terms.timers.now() - sentAt));
        else if (m_open > 0)
            return;
        m_isOver = true;
        if (m_copies > 1)
            LOG(INFO) << "event=call_retried call=" << m_terms.name << " copies=" << m_copies
                      << " answered=" << answer.has_value();
        m_done(std::move(answer));
    }

    void awaitAnswer()
    {
        if (m_isOver || m_copies >= m_terms.maxCopies)
            return;
        ResendPolicy::checkAfter(m_terms.timers, m_terms.resends.delayAfter(m_copies),
                                 [self = this->shared_from_this()] {
                                     if (self->m_isOver)
                                         return;
                                     if (!self->m_terms.resends.takeExtraCall())
                                         return self->awaitAnswer();
                                     self->sendCopy();
                                 });
    }

    Terms m_terms;
    Send m_send;
    Done m_done;
    uint32_t m_copies = 0;
    uint32_t m_open = 0;
    bool m_isOver = false;
};

} // namespace Cranberrymount
