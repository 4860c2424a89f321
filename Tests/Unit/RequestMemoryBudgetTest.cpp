#include "Transport/RequestMemoryBudget.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

using namespace Cranberrymount;
using AccountHandle = RequestMemoryBudget::AccountHandle;

namespace {

/** A budget of 1 MB, four connections and 100 ms without progress. */
class BudgetFixture
{
protected:
    ~BudgetFixture()
    {
        for (const int descriptor : m_descriptors)
            close(descriptor);
    }

    AccountHandle open()
    {
        std::array<int, 2> pair{};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()) == 0);
        m_descriptors.insert(m_descriptors.end(), pair.begin(), pair.end());
        return m_budget->open(pair[0]);
    }

    AccountHandle openWith(std::size_t received)
    {
        AccountHandle account = open();
        receive(account, received);
        return account;
    }

    static void receive(const AccountHandle &account, std::size_t length, char character = 'x')
    {
        const std::string data(length, character);
        account->received(data.data(), data.size());
    }

    static void sleep(int milliseconds) { std::this_thread::sleep_for(Duration(milliseconds)); }

    std::vector<int> m_descriptors;
    std::shared_ptr<RequestMemoryBudget> m_budget = std::make_shared<RequestMemoryBudget>(
        RequestMemoryBudget::Limits{1'000'000, 4, Duration(100)});
};

} // namespace

// Guards against closing ordinary callers in favour of those that use up the memory.
TEST_CASE_METHOD(BudgetFixture, "Used up budget closes the connection that holds most of it",
                 "[transport][budget]")
{
    const AccountHandle small = openWith(1000);
    const AccountHandle large = openWith(300'000);
    const AccountHandle other = openWith(150'000);
    CHECK_FALSE(large->isEvicted());
    receive(small, 50'000);
    CHECK(large->isEvicted());
    CHECK_FALSE(small->isEvicted());
    CHECK_FALSE(other->isEvicted());
    CHECK(m_budget->counts().closedForMemory == 1);
    CHECK(m_budget->counts().heldBytes < 1'000'000);
}

// Chunks of one byte make RESTinio hold far more than their bytes.
TEST_CASE_METHOD(BudgetFixture, "Line ends are charged with more than their bytes",
                 "[transport][budget]")
{
    const AccountHandle chunks = open();
    receive(chunks, 60'000, '\n');
    CHECK(chunks->isEvicted());
}

TEST_CASE_METHOD(BudgetFixture, "Request that is being handled is not closed and keeps its charge",
                 "[transport][budget]")
{
    const AccountHandle handled = openWith(200'000);
    REQUIRE(handled->beginHandling());
    const AccountHandle second = openWith(100'000);
    CHECK_FALSE(second->beginHandling());
    const AccountHandle reading = openWith(250'000);
    CHECK_FALSE(handled->isEvicted());
    CHECK((second->isEvicted() || reading->isEvicted()));
    const AccountHandle small = openWith(1000);
    CHECK(small->beginHandling());
    handled->close();
    CHECK(m_budget->counts().heldBytes > 400'000);
}

TEST_CASE_METHOD(BudgetFixture, "Connection over the limit closes the one that has waited longest",
                 "[transport][budget]")
{
    std::vector<AccountHandle> accounts{open()};
    // It has just served a request, so it waits for less time than the others.
    accounts[0]->beginHandling();
    sleep(5);
    for (int number = 0; number < 3; ++number) {
        accounts.push_back(open());
        sleep(5);
    }
    accounts[0]->beginResponse(10);
    accounts[0]->endResponse();
    accounts.push_back(open());
    CHECK(accounts[1]->isEvicted());
    CHECK(m_budget->counts().closedForConnections == 1);
    CHECK(m_budget->counts().openConnections == 4);
    // With all connections in use, the new one itself is closed.
    for (const int index : {0, 2, 3, 4})
        accounts[index]->beginHandling();
    const AccountHandle refused = open();
    CHECK(refused->isEvicted());
    accounts.clear();
    CHECK(m_budget->counts().openConnections == 0);
}

TEST_CASE_METHOD(BudgetFixture, "Only a request without progress is closed as stalled",
                 "[transport][budget]")
{
    const AccountHandle idle = open();
    const AccountHandle stalled = openWith(10);
    const AccountHandle active = openWith(10);
    sleep(120);
    receive(active, 1);
    m_budget->closeStalled();
    CHECK(stalled->isEvicted());
    CHECK_FALSE(idle->isEvicted());
    CHECK_FALSE(active->isEvicted());
}

TEST_CASE_METHOD(BudgetFixture, "Budget is empty again when its connections have ended",
                 "[transport][budget]")
{
    {
        const AccountHandle evicted = openWith(600'000);
        const AccountHandle closed = openWith(1000);
        const AccountHandle refused = openWith(1000);
        CHECK(refused->beginRefusal());
        closed->close();
        const AccountHandle writing = openWith(1000);
        writing->beginHandling();
        writing->beginResponse(5000);
    }
    CHECK(m_budget->counts().heldBytes == 0);
    CHECK(m_budget->counts().openConnections == 0);
}
