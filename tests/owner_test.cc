#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>

#include "host/owner.h"
#include "host/record_relay.h"
#include "platform/config.h"
#include "tests/fake_store.h"

namespace
{

/* One host: a group member, a follower of the job log and an owner, without
 * workers. */
class Host
{
      public:
	Host(FakeStore *s, const char *name) : store(s)
	{
		view_ops.accepted = [](void *ctx, job_entry *e) {
			Host *h = (Host *)ctx;
			if (h->owner.cell)
				cell_job_accepted(h->owner.cell, e);
		};
		view_ops.cancelled = [](void *, job_entry *) {};
		view_ops.dropped = [](void *, job_entry *) {};
		follow_ops.begin = [](void *) {};
		follow_ops.end = [](void *) {};
		follow_ops.apply = [](void *ctx, const store_record *r) {
			Host *h = (Host *)ctx;
			job_view_apply(&h->view, r->key, r->value, h->now);
		};
		cell.now = [](void *ctx) { return ((Host *)ctx)->now; };
		cell.zone_open = [](void *, const char *) { return true; };
		cell.accounts = [](void *) {
			return (const account_table *)nullptr;
		};
		cell.queue_service = [](void *, const char *) {
			return (const char *)"pool";
		};
		cell.fenced = [](void *ctx) {
			((Host *)ctx)->owner.fenced_by_worker = true;
		};
		wops.poll = [](void *, const worker_addr *,
			       const poll_request *, poll_done, void *) {};
		job_view_init(&view, &view_ops, this);
		follower_init(&jobs, &s->ops, s, TOPIC_JOBS, 0, &follow_ops,
			      this);
		member_init(&membership, &s->ops, s, name, 2000);
		owner.store = &s->ops;
		owner.port = s;
		owner.worker_ops = &wops;
		owner.worker_topic = "keyed.servers";
		owner.job_view = &view;
		owner.job_follower = &jobs;
		owner.cell_ops = &cell;
		owner.parse_worker = [](str, str, worker_entry *) {
			return -1;
		};
		owner.ctx = this;
		owner.peer_records_done = [](void *ctx, uint64_t from,
					     uint64_t seq,
					     store_status outcome) {
			Host *h = (Host *)ctx;
			h->peer_outcomes.push_back({seq, outcome});
			if (h->relay)
				record_relay_answer(h->relay, from, seq,
						    outcome);
		};
		name_set(owner.self.name, name);
		name_set(owner.self.address, "10.0.0.1:7720");
		owner.options.lease_ms = 4000;
		owner.options.takeover_ms = 8500;
		owner.options.violation_ms = 4000;
		owner.options.renew_after_ms = 4000;
		owner_init(&owner);
	}

	~Host()
	{
		owner_finish(&owner);
		follower_finish(&jobs);
		job_view_finish(&view);
	}

	void tick(int64_t t)
	{
		now = t;
		if (!started)
			follower_start(&jobs, t);
		started = true;
		follower_tick(&jobs, t);
		membership.retained = retains && owner_may_retain(&owner);
		member_tick(&membership, t);
		owner_tick(&owner, &membership, t, t);
	}

	FakeStore *store;
	job_view view;
	job_view_ops view_ops;
	follower_ops follow_ops = {};
	follower jobs;
	struct member membership;
	struct owner owner = {};
	cell_ops cell;
	worker_ops wops = {};
	int64_t now = 0;
	bool started = false;
	bool retains = false;
	std::vector<std::pair<uint64_t, store_status>> peer_outcomes;
	record_relay *relay = nullptr;

	bool add_records(uint64_t seq, const char *key,
			 const std::string &value = "v")
	{
		bool taken;
		buf b;

		buf_init(&b);
		store_record_add(&b, str_of(key), {value.data(), value.size()});
		taken = owner_add_records(&owner, 9, seq, {b.data, b.len});
		buf_finish(&b);
		return taken;
	}
};

class Owner : public testing::Test
{
      protected:
	void run(std::vector<Host *> hosts, int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += 10) {
			store.now = now;
			for (Host *h : hosts)
				h->tick(now);
			store.run();
		}
	}

	FakeStore store;
	int64_t now = 1000;
};

TEST_F(Owner, TakesOverTheCellThatIsAssignedToIt)
{
	Host a(&store, "a"), b(&store, "b");

	run({&a, &b}, 500);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_EQ(b.owner.phase, OWNER_IDLE);
	EXPECT_EQ(store.epoch, a.owner.epoch);
}

/* The next owner has only the log to know by that its calls have to carry
 * raised fences: workers refuse all others. */
TEST_F(Owner, StoresThatFencesAreRaisedOnceAllHostsRaiseThem)
{
	Host a(&store, "a"), b(&store, "b");
	auto is_stored = [&]() {
		for (auto &r : store.topics[TOPIC_JOBS])
			if (r.key == FENCES_KEY)
				return true;
		return false;
	};

	run({&a}, 3000);
	ASSERT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_FALSE(is_stored());
	a.owner.raises_fences = true;
	run({&a}, 200);
	EXPECT_TRUE(is_stored());
	run({&b}, 500);
	EXPECT_TRUE(b.view.raises_fences);
}

/* The store answers 409 to a fence that it has carried out before. The owner
 * sent the same one for ever, and the cell had no owner until the group
 * assigned it anew. */
TEST_F(Owner, TakesOverAfterAFenceWhoseAnswerIsLost)
{
	Host a(&store, "a");

	while (!a.membership.assigned || !a.jobs.loaded)
		run({&a}, 10);
	ASSERT_EQ(a.owner.phase, OWNER_IDLE);
	store.mode = FakeStore::LOSE_REPLIES;
	run({&a}, 20);
	ASSERT_EQ(a.owner.phase, OWNER_FENCING);
	ASSERT_EQ(store.epoch, a.owner.epoch);
	store.mode = FakeStore::SERVE;
	run({&a}, 500);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_GE(store.topics[TOPIC_JOBS].size(), 1u);
}

/* An owner whose fence got no answer and has not arrived is not the only one:
 * the store takes batches of the former owner, which it has not read. */
TEST_F(Owner, TakesOverOnlyOnceItsFenceIsAnswered)
{
	Host a(&store, "a");

	while (!a.membership.assigned || !a.jobs.loaded)
		run({&a}, 10);
	store.mode = FakeStore::UNAVAILABLE;
	run({&a}, 1000);
	EXPECT_EQ(a.owner.phase, OWNER_FENCING);
	EXPECT_LT(store.epoch, a.owner.epoch);
	store.mode = FakeStore::SERVE;
	run({&a}, 500);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_EQ(store.epoch, a.owner.epoch);
}

/* The answer to the fence of an earlier takeover arrived during the next one,
 * and was taken for the answer to its fence: nothing was sent to the store, and
 * what another owner had stored in between was not read. */
TEST_F(Owner, TakesNoAnswerToAnEarlierFenceForThatToItsOwn)
{
	Host a(&store, "a"), b(&store, "b");
	std::function<void()> answer;

	while (!a.membership.assigned || !a.jobs.loaded)
		run({&a}, 10);
	store.now = now;
	a.tick(now);
	ASSERT_EQ(a.owner.phase, OWNER_FENCING);
	answer =
		store.pending.back(); /* the fence is the last call of a tick */
	store.pending.pop_back();
	store.assignee = "b";
	store.generation++;
	run({&a, &b}, 1500);
	ASSERT_EQ(a.owner.phase, OWNER_IDLE);
	ASSERT_EQ(b.owner.phase, OWNER_ACTIVE);
	store.assignee = "a";
	store.generation++;
	while (a.owner.phase != OWNER_FENCING)
		run({&a}, 10);
	answer();
	EXPECT_EQ(a.owner.phase, OWNER_FENCING);
	run({&a}, 500);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_EQ(store.epoch, a.owner.epoch);
}

/* With a slow store, three seconds passed between the former owner and the next
 * one, and the leases of 490 workers expired. */
TEST_F(Owner, RenewsLeasesUntilTheNextOwnerTakesOver)
{
	Host a(&store, "a");

	run({&a}, 500);
	store.assignee = "b";
	store.generation++;
	run({&a}, 3000);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_GT(a.owner.handover_began_ms, 0);
	run({&a}, 2500);
	EXPECT_EQ(a.owner.phase, OWNER_IDLE);
}

TEST_F(Owner, TakesOverAgainWhenTheCellIsReassigned)
{
	Host a(&store, "a");
	uint64_t before;

	run({&a}, 500);
	before = a.owner.epoch;
	store.assignee = "b";
	store.generation++;
	run({&a}, 1000);
	store.assignee = "a";
	store.generation++;
	run({&a}, 1000);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_GT(a.owner.epoch, before);
	EXPECT_EQ(a.owner.handover_began_ms, 0);
}

TEST_F(Owner, StepsDownWhenTheStoreFencesIt)
{
	Host a(&store, "a"), b(&store, "b");

	run({&a, &b}, 500);
	/* The group assigns the cell to b while a does not run. */
	store.assignee = "b";
	store.generation++;
	run({&b}, 1000);
	EXPECT_EQ(b.owner.phase, OWNER_ACTIVE);
	/* Host a sends no join meanwhile, so it keeps its generation. */
	a.membership.due_ms = now + 100000;
	store_record_add(&a.owner.batch, str_of("k"), str_of("v"));
	run({&a, &b}, 200);
	EXPECT_EQ(a.owner.phase, OWNER_IDLE);
	EXPECT_EQ(b.owner.phase, OWNER_ACTIVE);
}

/* The group may assign all cells anew without waiting for the owner: its next
 * append fails, and it must not hold on to the cell then. */
TEST_F(Owner, GivesUpARetainedCellWhenAnotherHostHasTakenItOver)
{
	Host a(&store, "a"), b(&store, "b");

	a.retains = b.retains = true;
	run({&a, &b}, 500);
	ASSERT_EQ(a.owner.phase, OWNER_ACTIVE);
	store.assignee = "b";
	store.generation++;
	run({&a, &b}, 4000);
	EXPECT_EQ(a.owner.phase, OWNER_IDLE);
	EXPECT_EQ(a.membership.assigned, 0u);
	EXPECT_EQ(b.owner.phase, OWNER_ACTIVE);
}

TEST_F(Owner, AuthorityExpiresWithTheMembership)
{
	Host a(&store, "a");

	run({&a}, 500);
	store.mode = FakeStore::UNAVAILABLE;
	run({&a}, 2500);
	EXPECT_LT(a.membership.assigned_until_ms, now);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE); /* leases are still renewed */
}

TEST_F(Owner, ResendsABatchUnderItsSequenceNumber)
{
	Host a(&store, "a");

	run({&a}, 500);
	uint64_t seq = a.owner.seq;
	store.mode = FakeStore::LOSE_REPLIES;
	store_record_add(&a.owner.batch, str_of("k"), str_of("v"));
	run({&a}, 300);
	EXPECT_EQ(a.owner.seq, seq);
	store.mode = FakeStore::SERVE;
	run({&a}, 300);
	EXPECT_EQ(a.owner.seq, seq + 1);
	size_t copies = 0;
	for (auto &r : store.topics[TOPIC_JOBS])
		copies += r.key == "k";
	EXPECT_EQ(copies, 1u);
}

TEST_F(Owner, NamesItselfToAllHosts)
{
	Host a(&store, "a"), b(&store, "b");

	run({&a, &b}, 1000);
	EXPECT_STREQ(b.view.owner.name, "a");
	EXPECT_STREQ(b.view.owner.address, "10.0.0.1:7720");
}

TEST_F(Owner, StoresTheRecordsOfOtherHosts)
{
	Host a(&store, "a");
	size_t copies = 0;

	EXPECT_FALSE(a.add_records(1, "early")); /* not the owner yet */
	run({&a}, 500);
	EXPECT_TRUE(a.add_records(7, "guest"));
	run({&a}, 300);
	ASSERT_EQ(a.peer_outcomes.size(), 1u);
	EXPECT_EQ(a.peer_outcomes[0].first, 7u);
	EXPECT_EQ(a.peer_outcomes[0].second, STORE_OK);
	for (auto &r : store.topics[TOPIC_JOBS])
		copies += r.key == "guest";
	EXPECT_EQ(copies, 1u);
}

/* A record in a batch whose answer was lost may be stored; one that waited for
 * the next batch was never sent. */
TEST_F(Owner, TellsWhatMayBeStoredWhenItStepsDown)
{
	Host a(&store, "a");

	run({&a}, 500);
	store.mode = FakeStore::LOSE_REPLIES;
	a.add_records(1, "sent");
	run({&a}, 20);
	a.add_records(2, "waiting");
	owner_step_down(&a.owner, "test");
	ASSERT_EQ(a.peer_outcomes.size(), 2u);
	EXPECT_EQ(a.peer_outcomes[0].first, 1u);
	EXPECT_EQ(a.peer_outcomes[0].second, STORE_UNKNOWN);
	EXPECT_EQ(a.peer_outcomes[1].first, 2u);
	EXPECT_EQ(a.peer_outcomes[1].second, STORE_REFUSED);
}

/* The callers of a store that takes nothing were told only at their deadline,
 * and then that the job may have been accepted. */
TEST_F(Owner, RefusesTheRecordsOfOtherHostsThatTheStoreRefuses)
{
	Host a(&store, "a");
	size_t copies = 0;

	run({&a}, 500);
	store.mode = FakeStore::REFUSE;
	a.add_records(1, "guest");
	run({&a}, 700);
	ASSERT_EQ(a.peer_outcomes.size(), 1u);
	EXPECT_EQ(a.peer_outcomes[0].second, STORE_REFUSED);
	store.mode = FakeStore::SERVE;
	a.add_records(2, "later");
	run({&a}, 300);
	ASSERT_EQ(a.peer_outcomes.size(), 2u);
	EXPECT_EQ(a.peer_outcomes[1].second, STORE_OK);
	for (auto &r : store.topics[TOPIC_JOBS])
		copies += r.key == "guest";
	EXPECT_EQ(copies, 0u);
}

/*
 * Against jobs answered 200 that were not stored: once an append of a batch has
 * had no answer, its number belongs to its records, however often the store
 * refuses it after that. The next batch under that number would be taken for a
 * repeat and not be stored.
 */
TEST_F(Owner, KeepsABatchThatMayBeStoredWhileTheStoreRefusesIt)
{
	Host a(&store, "a");
	std::map<std::string, size_t> copies;

	run({&a}, 500);
	uint64_t seq = a.owner.seq;
	store.mode = FakeStore::LOSE_REPLIES;
	a.add_records(1, "sent");
	run({&a}, 20);
	store.mode = FakeStore::REFUSE;
	run({&a}, 2000);
	EXPECT_EQ(a.owner.seq, seq);
	EXPECT_TRUE(a.peer_outcomes.empty());
	store.mode = FakeStore::SERVE;
	a.add_records(2, "later");
	run({&a}, 300);
	ASSERT_EQ(a.peer_outcomes.size(), 2u);
	EXPECT_EQ(a.peer_outcomes[0].second, STORE_OK);
	EXPECT_EQ(a.peer_outcomes[1].second, STORE_OK);
	for (auto &r : store.topics[TOPIC_JOBS])
		copies[r.key]++;
	EXPECT_EQ(copies["sent"], 1u);
	EXPECT_EQ(copies["later"], 1u);
}

/* They waited behind the batch that could not be stored. */
TEST_F(Owner, RefusesRecordsThatArriveWhileTheStoreRefuses)
{
	Host a(&store, "a");

	run({&a}, 500);
	store.mode = FakeStore::REFUSE;
	store_record_add(&a.owner.batch, str_of("k"), str_of("v"));
	run({&a}, 100);
	a.add_records(1, "guest");
	run({&a}, 700);
	ASSERT_EQ(a.peer_outcomes.size(), 1u);
	EXPECT_EQ(a.peer_outcomes[0].second, STORE_REFUSED);
}

/* An owner that lost its membership in an outage told callers that their jobs
 * may have been accepted, although the store had refused them. */
TEST_F(Owner, StepsDownWithRecordsThatWereRefused)
{
	Host a(&store, "a");

	run({&a}, 500);
	store.mode = FakeStore::REFUSE;
	a.add_records(1, "guest");
	run({&a}, 100);
	owner_step_down(&a.owner, "test");
	ASSERT_EQ(a.peer_outcomes.size(), 1u);
	EXPECT_EQ(a.peer_outcomes[0].second, STORE_REFUSED);
}

/* The caller of a record that waited for the next batch when its time ended was
 * told that the job may run. Withdrawn, the record must not be stored, and
 * those around it must be. */
TEST_F(Owner, DropsWithdrawnRecordsThatAreInNoBatch)
{
	Host a(&store, "a");
	std::string keys;

	run({&a}, 500);
	a.add_records(1, "sent");
	a.tick(now);
	for (uint64_t seq = 2; seq <= 6; seq++)
		a.add_records(seq, std::to_string(seq).c_str());
	EXPECT_FALSE(owner_withdraw_records(&a.owner, 9, 1)); /* in flight */
	EXPECT_FALSE(owner_withdraw_records(&a.owner, 8, 3)); /* another host */
	EXPECT_TRUE(owner_withdraw_records(&a.owner, 9, 3));
	EXPECT_FALSE(owner_withdraw_records(&a.owner, 9, 3));
	EXPECT_TRUE(owner_withdraw_records(&a.owner, 9, 2));
	EXPECT_TRUE(owner_withdraw_records(&a.owner, 9, 6));
	EXPECT_TRUE(a.peer_outcomes.empty());
	run({&a}, 300);
	for (auto &r : store.topics[TOPIC_JOBS])
		if (r.value == "v")
			keys += r.key + " ";
	EXPECT_EQ(keys, "sent 4 5 ");
	EXPECT_EQ(a.peer_outcomes.size(), 3u);
	EXPECT_FALSE(owner_withdraw_records(&a.owner, 9, 4)); /* stored */
}

/* The records of many hosts filled one batch beyond what the store accepts: it
 * refused each append of the owner from then on. */
TEST_F(Owner, KeepsToTheLargestAppendOfTheStore)
{
	Host a(&store, "a");
	const std::string large(900, 'x');
	size_t copies = 0;

	a.owner.options.append_max_bytes = store.append_max = 4000;
	run({&a}, 500);
	for (uint64_t seq = 1; seq <= 20; seq++)
		EXPECT_TRUE(
			a.add_records(seq, std::to_string(seq).c_str(), large));
	EXPECT_TRUE(a.add_records(21, "more than half", large + large + large));
	EXPECT_FALSE(a.add_records(22, "too large", std::string(4000, 'x')));
	EXPECT_TRUE(a.add_records(23, "last"));
	run({&a}, 100);
	EXPECT_TRUE(owner_withdraw_records(&a.owner, 9, 23));
	run({&a}, 900);
	ASSERT_EQ(a.peer_outcomes.size(), 21u);
	for (auto &p : a.peer_outcomes)
		EXPECT_EQ(p.second, STORE_OK) << p.first;
	for (auto &r : store.topics[TOPIC_JOBS])
		copies += r.value.size() >= large.size();
	EXPECT_EQ(copies, 21u);
	EXPECT_EQ(a.owner.append_failures, 0u);
}

/* Entries of the registry that cannot be decoded name no worker; the owner must
 * say which, and know of all others. */
TEST_F(Owner, SkipsRegistryEntriesThatCannotBeDecoded)
{
	const std::string good =
		"{\"address\":\"10.0.0.9:1\",\"service\":\"pool\",\"zone\":"
		"\"z\",\"state\":\"ready\",\"born\":5,\"capacity\":{\"cpu\":"
		"1000,\"memMb\":100}}";
	const char *topic = "keyed.servers";
	struct cell_counts n;
	Host a(&store, "a");
	std::string log;

	a.owner.parse_worker = worker_entry_parse;
	a.owner.worker_port = &store;
	a.wops.poll = [](void *port, const worker_addr *w, const poll_request *,
			 poll_done d, void *ctx) {
		worker_addr addr = *w;
		((FakeStore *)port)->pending.push_back([=]() {
			poll_reply r = {};
			r.status = ORDER_UNKNOWN;
			d(ctx, &addr, &r);
		});
	};
	store.put(topic, "w1", good);
	store.put(topic, "w2", "{\"address\":");
	store.put(topic, "w3", good);
	store.put(topic, std::string(NAME_SIZE, 'w'), good);
	run({&a}, 1000);
	testing::internal::CaptureStderr();
	store.put(topic, "w4", "\xff\x01");
	store.put(topic, "w5", good);
	store.put(topic, std::string(NAME_SIZE + 1, 'w'), good);
	run({&a}, 1000);
	log = testing::internal::GetCapturedStderr();
	cell_get_counts(a.owner.cell, &n);
	EXPECT_EQ(n.workers, 3u);
	EXPECT_NE(log.find("worker=w4 offset=4 "), std::string::npos) << log;
	EXPECT_NE(log.find("offset=6 key_bytes=65"), std::string::npos) << log;
}

/* Two hosts whose messages are late, lost and out of order. */
class Wire
{
      public:
	Wire(Host *h, std::mt19937 *random) : owner(h), rng(random)
	{
		ops.accept = [](void *ctx, uint64_t from, uint64_t seq, str r) {
			return owner_add_records(&((Wire *)ctx)->owner->owner,
						 from, seq, r);
		};
		ops.withdraw = [](void *ctx, uint64_t from, uint64_t seq) {
			Wire *w = (Wire *)ctx;
			bool found = owner_withdraw_records(&w->owner->owner,
							    from, seq);
			w->dropped += found;
			return found;
		};
		for (int i = 0; i < 2; i++) {
			nets[i].disconnect = [](void *, uint64_t) {};
			nets[i].send = [](void *ctx, uint64_t to, str text) {
				((Wire *)ctx)->send(to, text);
			};
			nets[i].ctx = this;
			record_relay_init(&relays[i], &nets[i], &ops, this,
					  (uint64_t)i);
		}
		owner->relay = &relays[1];
	}

	~Wire()
	{
		owner->relay = nullptr;
		record_relay_finish(&relays[0]);
		record_relay_finish(&relays[1]);
	}

	bool chance(unsigned percent)
	{
		return (*rng)() % 100 < percent;
	}

	void send(uint64_t to, str text)
	{
		if (chance(10))
			return;
		messages.push_back({to, std::string(text.data, text.len)});
	}

	void tick(int64_t now)
	{
		for (size_t i = 0; i < messages.size();) {
			if (chance(50)) {
				i++;
				continue;
			}
			auto m = messages[i];
			messages.erase(messages.begin() + (long)i);
			EXPECT_EQ(record_relay_receive(&relays[m.first],
						       1 - m.first,
						       {m.second.data(),
							m.second.size()}),
				  0);
		}
		record_relay_tick(&relays[0], now);
		record_relay_tick(&relays[1], now);
	}

	Host *owner;
	std::mt19937 *rng;
	record_relay relays[2]; /* of the host, and of the owner */
	relay_net nets[2] = {};
	record_relay_ops ops;
	std::vector<std::pair<uint64_t, std::string>> messages;
	size_t dropped = 0;
};

struct Passed {
	std::string key;
	uint64_t seq;
	bool done;
	store_status status;
};

/* "Has not run" must be true whatever the withdrawal crosses: the append, its
 * answer, lost messages, an owner that steps down. */
TEST_F(Owner, RefusesNothingThatIsStored)
{
	size_t dropped = 0, refused = 0, stored = 0;

	for (unsigned seed = 1; seed <= 100; seed++) {
		FakeStore s;
		Host a(&s, "a");
		std::mt19937 rng(seed);
		std::vector<std::unique_ptr<Passed>> all;
		Wire wire(&a, &rng);

		for (int64_t t = 1000; t < 8000; t += 10) {
			s.now = t;
			a.tick(t);
			if (wire.chance(2))
				s.mode = (FakeStore::Mode)(rng() % 4);
			if (t > 1500 && t < 4000 && wire.chance(20)) {
				all.emplace_back(new Passed());
				Passed *p = all.back().get();
				p->key = "k" + std::to_string(all.size());
				buf b;
				buf_init(&b);
				store_record_add(&b, str_of(p->key.c_str()),
						 str_of("v"));
				p->seq = record_relay_send(
					&wire.relays[0], 1, {b.data, b.len},
					[](void *ctx, store_status status) {
						((Passed *)ctx)->done = true;
						((Passed *)ctx)->status =
							status;
					},
					p);
				buf_finish(&b);
			}
			for (auto &p : all)
				if (!p->done && wire.chance(5))
					record_relay_withdraw(&wire.relays[0],
							      p->seq);
			if (t == 3500 && seed % 4 == 0)
				owner_step_down(&a.owner, "test");
			if (wire.chance(20))
				s.run();
			wire.tick(t);
		}
		s.run();
		for (auto &p : all) {
			size_t copies = 0;
			for (auto &r : s.topics[TOPIC_JOBS])
				copies += r.key == p->key;
			ASSERT_TRUE(p->done);
			if (p->status == STORE_REFUSED)
				refused++;
			else if (p->status == STORE_OK)
				stored++;
			else
				continue;
			EXPECT_EQ(copies, p->status == STORE_OK ? 1u : 0u)
				<< "seed " << seed << " key " << p->key;
		}
		dropped += wire.dropped;
	}
	EXPECT_GT(dropped, 100u);
	EXPECT_GT(refused, 100u);
	EXPECT_GT(stored, 100u);
}

TEST_F(Owner, AnotherHostTakesOverAfterAStop)
{
	Host a(&store, "a"), b(&store, "b");

	run({&a, &b}, 500);
	owner_step_down(&a.owner, "stop");
	member_leave(&a.membership);
	store.run();
	run({&a, &b}, 700);
	EXPECT_EQ(a.owner.phase, OWNER_IDLE);
	EXPECT_EQ(b.owner.phase, OWNER_ACTIVE);
	EXPECT_GT(b.owner.epoch, a.owner.ended_epoch);
}

/* Appends of the first host are refused. */
bool appends_fail;
/* Appends of the first host are carried out and get no answer. */
bool appends_lose_answers;

/* Host a has a path to the worker "w1", host b has none, so b waits for the end
 * of its leases. */
class TwoOwners : public testing::Test
{
      protected:
	TwoOwners() : a(&store, "a"), b(&store, "b")
	{
		a.retains = b.retains = true;
		a.wops.poll = [](void *port, const worker_addr *w,
				 const poll_request *q, poll_done d,
				 void *ctx) {
			TwoOwners *t = (TwoOwners *)port;
			int64_t end = q->lease_deadline_ms * 50 / 49;
			if (end > t->lease)
				t->lease = end;
			worker_addr addr = *w;
			int64_t sent = t->now;
			t->polls.push_back([=]() {
				poll_reply r = {};
				r.status = ORDER_OK;
				r.born = 5;
				r.clock = t->worker_clock();
				r.sent_ms = sent;
				r.running = t->runs.data();
				r.running_count = t->runs.size();
				d(ctx, &addr, &r);
			});
		};
		a.wops.start = [](void *port, const worker_addr *w,
				  const order *o, order_done d, void *ctx) {
			TwoOwners *t = (TwoOwners *)port;
			worker_addr addr = *w;
			task_ref ref = o->ref;
			t->starts++;
			t->runs.push_back({ref, "", 0, 0});
			t->polls.push_back([=]() {
				order_reply r = {ORDER_OK, t->worker_clock()};
				d(ctx, &addr, &ref, &r);
			});
		};
		a.owner.worker_port = this;
		b.wops.poll = [](void *port, const worker_addr *w,
				 const poll_request *, poll_done d, void *ctx) {
			TwoOwners *t = (TwoOwners *)port;
			worker_addr addr = *w;
			t->polls.push_back([=]() {
				poll_reply r = {};
				r.status = ORDER_UNKNOWN;
				d(ctx, &addr, &r);
			});
		};
		b.owner.worker_port = this;
		ops = store.ops;
		ops.append = [](void *p, const store_append *x, store_done d,
				void *ctx) {
			FakeStore *s = (FakeStore *)p;
			if (!appends_fail) {
				s->mode = appends_lose_answers
						  ? FakeStore::LOSE_REPLIES
						  : s->mode;
				s->ops.append(p, x, d, ctx);
				return;
			}
			s->pending.push_back([=]() {
				store_reply r = {};
				r.status = STORE_REFUSED;
				d(ctx, &r);
			});
		};
		a.owner.store = &ops;
		appends_fail = appends_lose_answers = false;
		known_worker k = {};
		name_set(k.address, "w1:1");
		k.born = 5;
		buf x;
		buf_init(&x);
		known_worker_write(&k, &x);
		store.put(TOPIC_JOBS, "w/w1", std::string(x.data, x.len));
		buf_finish(&x);
	}

	void submit(uint64_t id)
	{
		char key[JOB_KEY_SIZE];
		job_step task = {};
		job_spec spec = {};
		buf text;

		task.count = 1;
		task.cpu = 100;
		spec.id = id;
		name_set(spec.queue, "q");
		spec.attempts_max = 1;
		spec.steps = {&task, 1};
		buf_init(&text);
		job_spec_write(&spec, &text);
		str k = job_key(id, 0, key);
		store.put(TOPIC_JOBS, std::string(k.data, k.len),
			  std::string(text.data, text.len));
		buf_finish(&text);
	}

	/* The answer to the call that @call sends arrives @late_ms late. */
	void send_late(const std::function<void()> &call)
	{
		std::vector<std::function<void()>> before;

		before.swap(store.pending);
		call();
		late.push_back({now + late_ms, store.pending.back()});
		store.pending.swap(before);
	}

	void delay_joins(int64_t ms)
	{
		static TwoOwners *self;

		self = this;
		late_ms = ms;
		ops.join = [](void *p, const char *member, uint64_t g,
			      store_done d, void *ctx) {
			FakeStore *s = (FakeStore *)p;
			self->send_late(
				[&]() { s->ops.join(p, member, g, d, ctx); });
		};
		a.membership.store = &ops;
	}

	void delay_appends(int64_t ms)
	{
		static TwoOwners *self;

		self = this;
		late_ms = ms;
		ops.append = [](void *p, const store_append *x, store_done d,
				void *ctx) {
			FakeStore *s = (FakeStore *)p;
			self->send_late([&]() { s->ops.append(p, x, d, ctx); });
		};
	}

	/* The clock of w1 is as slow as the platform allows, 2 %. */
	int64_t worker_clock() const
	{
		return now * 49 / 50;
	}

	/* Runs for 3 s, in which host a starts a task on w1. */
	void start_task()
	{
		a.owner.parse_worker = worker_entry_parse;
		store.put("keyed.servers", "w1",
			  "{\"address\":\"10.0.0.1:1\",\"service\":\"pool\","
			  "\"state\":\"ready\",\"born\":5,"
			  "\"capacity\":{\"cpu\":1000,\"memMb\":100}}");
		submit(1);
		while (now < 3000)
			step(false);
		ASSERT_GT(starts, 0u);
	}

	void step(bool a_cut)
	{
		store.now = now;
		store.mode = a_cut ? FakeStore::UNAVAILABLE : FakeStore::SERVE;
		a.tick(now);
		store.mode = FakeStore::SERVE;
		if (b_up)
			b.tick(now);
		store.run();
		while (!late.empty() && late.front().first <= now) {
			auto f = late.front().second;
			late.pop_front();
			f();
		}
		auto out = polls;
		polls.clear();
		for (auto &f : out)
			f();
		if (b.owner.phase == OWNER_ACTIVE && !b_began) {
			b_began = now;
		}
		now += 10;
	}

	FakeStore store;
	store_ops ops;
	Host a, b;
	int64_t now = 0;
	int64_t lease = 0; /* boot time at which it ends on w1 */
	size_t starts = 0;
	std::vector<run_row> runs; /* on the worker */
	int64_t b_began = 0;
	bool b_up = false;
	std::vector<std::function<void()>> polls;
	int64_t late_ms = 0;
	std::deque<std::pair<int64_t, std::function<void()>>> late;
};

/* A host that had been cut from the store for 8 s extended leases for 4 s more
 * once its join was answered, while the next owner already counted on their
 * end. */
TEST_F(TwoOwners, ExtendsNoLeaseOnceItsMembershipHasLapsed)
{
	while (now < 3000)
		step(false);
	ASSERT_EQ(a.owner.phase, OWNER_ACTIVE);
	while (now < 3000 + 2000)
		step(true);
	b_up = true; /* a's time to live has ended */
	store.assignee = "b";
	store.generation++;
	while (now < 3000 + 8000)
		step(true);
	ASSERT_GT(b_began, 0);
	appends_fail = true; /* for 60 ms, the pause before the next try */
	while (now < 3000 + 8000 + 60)
		step(false);
	appends_fail = false;
	while (now < 20000)
		step(false);
	EXPECT_LT(lease, b_began + 8500);
}

/* An owner that retains its cell does not hear of another owner from the store
 * while its appends are refused. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongWithoutAnAnsweredAppend)
{
	while (now < 3000)
		step(false);
	ASSERT_EQ(a.owner.phase, OWNER_ACTIVE);
	b_up = true;
	store.assignee = "b";
	store.generation++;
	appends_fail = true;
	while (now < 3000 + 12000)
		step(false);
	EXPECT_LT(lease, b_began + 8500);
}

/* The store may assign the cell to another host without a request. An owner
 * that was cut off from the store at that moment counted on its time to live,
 * and extended leases for longer than the next owner waits. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongWhenTheCellIsReassignedDuringACut)
{
	start_task();
	while (a.membership.assigned_until_ms < now + 1790)
		step(false); /* the last join has just been answered */
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (now < 15000)
		step(true);
	ASSERT_GT(b_began, 0);
	EXPECT_LT(lease, b_began + 8500);
}

/* A cell that was assigned to another host and back during a cut: the join that
 * lists it again was taken for proof that nobody had taken it over, and leases
 * were extended while the other host counted on their end. */
TEST_F(TwoOwners, ExtendsNoLeaseWhenTheCellReturnsAfterAnotherHostHadIt)
{
	start_task();
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (now < 3000 + 7000)
		step(true);
	ASSERT_GT(b_began, 0);
	appends_fail = true;
	store.assignee = "a";
	store.generation++;
	while (now < b_began + 8500)
		step(false);
	EXPECT_EQ(a.owner.epoch, 2u);           /* its appends are refused */
	EXPECT_EQ(b.owner.phase, OWNER_ACTIVE); /* it retains the cell */
	EXPECT_LT(lease, b_began + 8500);
	appends_fail = false;
	while (now < 20000)
		step(false);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	EXPECT_EQ(a.owner.epoch, store.generation);
}

/* The same bound, for an owner that has declined to give the cell up and is cut
 * off afterwards, at any time between two appends. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongWhenItIsCutOffAfterADecline)
{
	start_task();
	store.assignee = "b";
	store.generation++;
	while (!a.membership.declined && now < 6000)
		step(false);
	ASSERT_GT(a.membership.declined, a.owner.epoch);
	for (int i = 0; i < 150; i++)
		step(false);
	EXPECT_EQ(a.owner.handover_began_ms, 0);
	b_up = true;
	while (now < 20000)
		step(true);
	ASSERT_GT(b_began, 0);
	EXPECT_LT(lease, b_began + 8500);
}

/* Joins whose answers take a second say less: they prove the state at the time
 * of the sending, not at that of the answer. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongWithSlowJoins)
{
	delay_joins(1000);
	start_task();
	appends_fail = true;
	for (int i = 0; i < 100; i++)
		step(false);
	while (a.membership.join_in_flight)
		step(false);
	while (!a.membership.join_in_flight)
		step(false);
	for (int i = 0; i < 5; i++)
		step(false);
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (now < 20000)
		step(false);
	ASSERT_GT(b_began, 0);
	EXPECT_LT(lease, b_began + 8500);
}

/* The same with appends: the next owner may have begun between the sending and
 * the answer. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongWithSlowAppends)
{
	start_task();
	store.generation++; /* joins prove nothing any more */
	for (int i = 0; i < 100; i++)
		step(false);
	delay_appends(1500);
	while (!a.owner.append_in_flight || now < 4100)
		step(false);
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (a.owner.append_in_flight)
		step(false);
	while (now < 20000)
		step(true);
	ASSERT_GT(b_began, 0);
	EXPECT_LT(lease, b_began + 8500);
}

/* A batch whose answer was lost is sent again, and the store answers the repeat
 * as it would have answered the batch: the answer was taken for proof that
 * nobody had taken the cell over when the repeat was sent. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongByTheAnswerToARepeat)
{
	start_task();
	store.generation++; /* joins prove nothing any more */
	for (int i = 0; i < 100; i++)
		step(false);
	appends_lose_answers = true;
	while (!a.owner.attempt)
		step(false);
	store.repeats_before_epoch = true;
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (!b_began || now < b_began + 1000)
		step(false);
	appends_lose_answers = false;
	while (a.owner.attempt)
		step(false);
	EXPECT_EQ(a.owner.phase, OWNER_ACTIVE);
	while (now < 20000)
		step(true);
	EXPECT_LT(lease, b_began + 8500);
}

/* Where workers grant shorter leases than LEASE_MS, the next owner waits for a
 * shorter time as well. */
TEST_F(TwoOwners, ExtendsNoLeaseForLongWhereLeasesAreShort)
{
	for (Host *h : {&a, &b}) {
		h->owner.options.lease_ms = 1000;
		h->owner.options.lease_max_ms = 1000;
		h->owner.options.takeover_ms = 5500;
	}
	start_task();
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (now < 20000)
		step(true);
	ASSERT_GT(b_began, 0);
	EXPECT_LT(lease, b_began + 5500);
}

/* The bound on renewals must not end those of an owner that is merely quiet,
 * nor when another host joins, after which its joins prove nothing. */
TEST_F(TwoOwners, ExtendsLeasesForAsLongAsTheStoreAnswers)
{
	start_task();
	while (now < 30000) {
		store.generation += now == 10000; /* another host joins */
		step(false);
		ASSERT_GT(lease, now + 1000) << now;
	}
}

/* With the delay of the cut, ms, and whether another host has joined the group
 * before it. */
class TwoOwnersCutAt : public TwoOwners,
		       public testing::WithParamInterface<std::tuple<int, bool>>
{
};

/* Leases outlasted the wait of the next owner, or not, by the moment between
 * two appends, joins and polls at which the cell was assigned anew. */
TEST_P(TwoOwnersCutAt, ExtendsNoLeaseForLong)
{
	start_task();
	store.generation += std::get<1>(GetParam());
	for (int i = 0; i < 100; i++)
		step(false);
	for (int ms = 0; ms < std::get<0>(GetParam()); ms += 10)
		step(false);
	b_up = true;
	store.assignee = "b";
	store.generation++;
	while (now < 20000)
		step(true);
	ASSERT_GT(b_began, 0);
	EXPECT_LT(lease, b_began + 8500);
}

INSTANTIATE_TEST_SUITE_P(Moments, TwoOwnersCutAt,
			 testing::Combine(testing::Range(0, 2100, 50),
					  testing::Bool()));

/* An owner whose cell had been given to another host went on starting tasks for
 * as long as its membership was certain, beside the next owner. */
TEST_F(TwoOwners, StartsNothingOnceItHandsOver)
{
	a.retains = false;
	start_task();
	store.assignee = "b";
	store.generation++;
	while (!a.owner.handover_began_ms && now < 4000)
		step(false);
	ASSERT_GT(a.owner.handover_began_ms, 0);
	starts = 0;
	submit(2);
	while (now < 6000)
		step(false);
	EXPECT_EQ(starts, 0u);
}

} /* namespace */
