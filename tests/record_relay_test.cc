#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "host/record_relay.h"

namespace
{

struct Node {
	record_relay relay;
	relay_net net;
	record_relay_ops ops;
	std::vector<std::pair<uint64_t, std::string>> outbox;
	std::vector<std::pair<uint64_t, uint64_t>> accepted;
	std::vector<std::pair<uint64_t, uint64_t>> withdrawn;
	std::vector<store_status> outcomes;
	std::vector<uint64_t> disconnected;
	bool owns = true;
	bool appends = false; /* what is accepted is in an append at once */

	explicit Node(uint64_t id)
	{
		net.send = [](void *ctx, uint64_t to, str text) {
			((Node *)ctx)
				->outbox.push_back(
					{to, std::string(text.data, text.len)});
		};
		net.disconnect = [](void *ctx, uint64_t to) {
			((Node *)ctx)->disconnected.push_back(to);
		};
		net.ctx = this;
		ops.accept = [](void *ctx, uint64_t from, uint64_t seq, str) {
			Node *n = (Node *)ctx;
			if (n->owns)
				n->accepted.push_back({from, seq});
			return n->owns;
		};
		ops.withdraw = [](void *ctx, uint64_t from, uint64_t seq) {
			return ((Node *)ctx)->drop(from, seq);
		};
		record_relay_init(&relay, &net, &ops, this, id);
		record_relay_tick(&relay, 1000);
	}

	~Node()
	{
		record_relay_finish(&relay);
	}

	bool drop(uint64_t from, uint64_t seq)
	{
		std::pair<uint64_t, uint64_t> key(from, seq);

		if (appends || std::find(accepted.begin(), accepted.end(),
					 key) == accepted.end())
			return false;
		withdrawn.push_back(key);
		return true;
	}

	uint64_t send(uint64_t owner, const std::string &records)
	{
		return record_relay_send(
			&relay, owner, {records.data(), records.size()},
			[](void *ctx, store_status s) {
				((Node *)ctx)->outcomes.push_back(s);
			},
			this);
	}

	void deliver_to(Node &other, uint64_t from)
	{
		for (auto &m : outbox)
			EXPECT_EQ(record_relay_receive(&other.relay, from,
						       {m.second.data(),
							m.second.size()}),
				  0);
		outbox.clear();
	}
};

std::string record(const char *key)
{
	std::string text;
	buf b;

	buf_init(&b);
	store_record_add(&b, str_of(key), str_of("value"));
	text.assign(b.data, b.len);
	buf_finish(&b);
	return text;
}

} /* namespace */

TEST(RecordRelay, ReportsWhatTheOwnerStored)
{
	Node host(1), owner(2);

	host.send(2, record("a"));
	host.deliver_to(owner, 1);
	ASSERT_EQ(owner.accepted.size(), 1u);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 1900); /* the store is slow */
	EXPECT_TRUE(host.outcomes.empty());
	record_relay_answer(&owner.relay, 1, owner.accepted[0].second,
			    STORE_OK);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 1910);
	ASSERT_EQ(host.outcomes.size(), 1u);
	EXPECT_EQ(host.outcomes[0], STORE_OK);
}

/* A caller must not wait for an owner that is down as long as for a slow store.
 */
TEST(RecordRelay, GivesUpSoonOnAnOwnerThatDoesNotTakeTheRecords)
{
	Node host(1);

	host.send(2, record("a"));
	record_relay_tick(&host.relay, 1410);
	ASSERT_EQ(host.outcomes.size(), 1u);
	EXPECT_EQ(host.outcomes[0], STORE_UNKNOWN);
}

/*
 * The connection to the owner goes silent without an error: all records of the
 * host were lost on it, as nothing ended it.
 */
TEST(RecordRelay, UsesANewConnectionToAnOwnerThatHasGoneSilent)
{
	Node host(1), owner(2);

	host.send(2, record("a"));
	record_relay_tick(&host.relay, 1410);
	EXPECT_TRUE(host.disconnected.empty()); /* it may be busy */
	host.send(2, record("b"));
	record_relay_tick(&host.relay, 1820);
	host.send(2, record("c"));
	record_relay_tick(&host.relay, 2230);
	EXPECT_EQ(host.outcomes.size(), 3u);
	EXPECT_EQ(host.disconnected, std::vector<uint64_t>({2}));
	host.outbox.clear();
	host.send(2, record("d"));
	host.deliver_to(owner, 1);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 2640);
	EXPECT_EQ(host.outcomes.size(), 3u); /* taken */
	EXPECT_EQ(host.disconnected.size(), 1u);
}

/* An owner that is late with one answer keeps its connection, on which further
 * answers may be on their way. */
TEST(RecordRelay, KeepsTheConnectionToAnOwnerThatAnswersLate)
{
	Node host(1), owner(2);
	int64_t now = 1000;

	for (int i = 0; i < 10; i++) {
		host.send(2, record("a"));
		record_relay_tick(&host.relay, now += 410);
		host.deliver_to(owner, 1);
		owner.deliver_to(host, 2);
	}
	EXPECT_EQ(host.outcomes.size(), 10u);
	EXPECT_TRUE(host.disconnected.empty());
}

/* A host that has lost the cell must say so at once, and has stored nothing. */
TEST(RecordRelay, IsRefusedByAHostThatDoesNotOwnTheCell)
{
	Node host(1), other(2);

	other.owns = false;
	host.send(2, record("a"));
	host.deliver_to(other, 1);
	other.deliver_to(host, 2);
	record_relay_tick(&host.relay, 1010);
	ASSERT_EQ(host.outcomes.size(), 1u);
	EXPECT_EQ(host.outcomes[0], STORE_REFUSED);
}

/* After a lost answer the record may be stored: never "refused". */
TEST(RecordRelay, AnswerThatIsLostLeavesTheOutcomeUnknown)
{
	Node host(1), owner(2);

	host.send(2, record("a"));
	host.deliver_to(owner, 1);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 5000);
	ASSERT_EQ(host.outcomes.size(), 1u);
	EXPECT_EQ(host.outcomes[0], STORE_UNKNOWN);
	record_relay_answer(&owner.relay, 1, owner.accepted[0].second,
			    STORE_OK);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 5010);
	EXPECT_EQ(host.outcomes.size(), 1u);
}

/* After a takeover the former owner may be dead: its callers need not wait. */
TEST(RecordRelay, StopsWaitingForAnOwnerThatWasReplaced)
{
	Node host(1), owner(2);

	host.send(2, record("a"));
	host.deliver_to(owner, 1);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 1200);
	EXPECT_TRUE(host.outcomes.empty());
	record_relay_abandon(&host.relay);
	record_relay_tick(&host.relay, 1201);
	ASSERT_EQ(host.outcomes.size(), 1u);
	EXPECT_EQ(host.outcomes[0], STORE_UNKNOWN);
}

TEST(RecordRelay, OwnerStoresItsOwnRecordsWithoutAMessage)
{
	Node owner(2);

	owner.send(2, record("a"));
	EXPECT_TRUE(owner.outbox.empty());
	ASSERT_EQ(owner.accepted.size(), 1u);
	record_relay_answer(&owner.relay, 2, owner.accepted[0].second,
			    STORE_OK);
	record_relay_tick(&owner.relay, 1010);
	ASSERT_EQ(owner.outcomes.size(), 1u);
	EXPECT_EQ(owner.outcomes[0], STORE_OK);
}

/*
 * A caller whose time ended while its record waited for the owner's next batch
 * was told that the job may run, although nothing had been sent to the store.
 */
TEST(RecordRelay, WithdrawsWhatTheOwnerHasNotAppended)
{
	Node host(1), owner(2);
	uint64_t a, b;

	a = host.send(2, record("a"));
	b = host.send(2, record("b"));
	host.send(2, record("c"));
	host.deliver_to(owner, 1);
	owner.deliver_to(host, 2);
	record_relay_withdraw(&host.relay, a);
	record_relay_withdraw(&host.relay, b);
	EXPECT_TRUE(host.outbox.empty());
	record_relay_tick(&host.relay, 1200);
	EXPECT_EQ(host.outbox.size(), 1u); /* both in one message */
	EXPECT_TRUE(host.outcomes.empty());
	host.deliver_to(owner, 1);
	EXPECT_EQ(owner.withdrawn.size(), 2u);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 1210);
	EXPECT_EQ(host.outcomes,
		  std::vector<store_status>({STORE_REFUSED, STORE_REFUSED}));
	record_relay_tick(&host.relay, 1220);
	EXPECT_TRUE(host.outbox.empty());
}

/* A record that is in an append when the withdrawal arrives may be stored. */
TEST(RecordRelay, WithdrawalThatCrossesTheAppendLeavesItsOutcome)
{
	Node host(1), owner(2);
	uint64_t seq = host.send(2, record("a"));

	host.deliver_to(owner, 1);
	owner.deliver_to(host, 2);
	record_relay_withdraw(&host.relay, seq);
	record_relay_tick(&host.relay, 1200);
	owner.appends = true;
	host.deliver_to(owner, 1);
	EXPECT_TRUE(owner.outbox.empty());
	record_relay_tick(&host.relay, 1300);
	EXPECT_TRUE(host.outcomes.empty());
	record_relay_answer(&owner.relay, 1, seq, STORE_OK);
	owner.deliver_to(host, 2);
	record_relay_tick(&host.relay, 1310);
	EXPECT_EQ(host.outcomes, std::vector<store_status>({STORE_OK}));
}

/* Without an answer the record may be stored: an owner of an older build does
 * not know the message, one that was replaced may have appended before. */
TEST(RecordRelay, UnansweredWithdrawalLeavesTheOutcomeUnknown)
{
	Node host(1), owner(2), next(3);
	uint64_t seq;

	seq = host.send(2, record("a"));
	host.deliver_to(owner, 1);
	owner.deliver_to(host, 2);
	record_relay_withdraw(&host.relay, seq);
	record_relay_tick(&host.relay, 1200);
	host.outbox.clear(); /* the question is lost */
	record_relay_withdraw(&host.relay, seq);
	record_relay_tick(&host.relay, 1210);
	host.deliver_to(next, 1);
	EXPECT_TRUE(next.outbox.empty()); /* does not know the batch */
	record_relay_withdraw(&host.relay, seq);
	record_relay_tick(&host.relay, 1220);
	host.deliver_to(owner, 1);
	owner.outbox.clear(); /* the answer is lost */
	record_relay_abandon(&host.relay);
	record_relay_tick(&host.relay, 1230);
	EXPECT_EQ(host.outcomes, std::vector<store_status>({STORE_UNKNOWN}));
}

TEST(RecordRelay, AsksEachOwnerForItsOwnBatches)
{
	Node host(1), two(2), three(3);
	std::vector<uint64_t> to;

	record_relay_withdraw(&host.relay, host.send(2, record("a")));
	record_relay_withdraw(&host.relay, host.send(3, record("b")));
	record_relay_withdraw(&host.relay, host.send(2, record("c")));
	host.outbox.clear();
	record_relay_tick(&host.relay, 1010);
	for (auto &m : host.outbox)
		to.push_back(m.first);
	std::sort(to.begin(), to.end());
	EXPECT_EQ(to, std::vector<uint64_t>({2, 3}));
}

TEST(RecordRelay, OwnerWithdrawsItsOwnRecordsWithoutAMessage)
{
	Node owner(2);

	record_relay_withdraw(&owner.relay, owner.send(2, record("a")));
	record_relay_tick(&owner.relay, 1010);
	EXPECT_TRUE(owner.outbox.empty());
	EXPECT_EQ(owner.outcomes, std::vector<store_status>({STORE_REFUSED}));
}

/* One malformed frame in the owner's batch would make the store refuse all of
 * it, for ever. */
TEST(RecordRelay, DropsRecordsThatAreNotFramed)
{
	Node host(1), owner(2);

	for (std::string bad :
	     {std::string(""), std::string("\0\0\0\x09\x01", 5),
	      std::string("\0\0\0\x02\x05x", 6), record("a") + "tail"}) {
		host.send(2, bad);
		for (auto &m : host.outbox)
			EXPECT_EQ(record_relay_receive(&owner.relay, 1,
						       {m.second.data(),
							m.second.size()}),
				  -EBADMSG);
		host.outbox.clear();
	}
	EXPECT_EQ(record_relay_receive(&owner.relay, 1, str_of("junk")),
		  -EBADMSG);
	EXPECT_TRUE(owner.accepted.empty());
	std::string good = record("a") + record("b");
	EXPECT_TRUE(store_records_valid({good.data(), good.size()}));
}
