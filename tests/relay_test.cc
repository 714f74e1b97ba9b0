#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include <unistd.h>

#include "adapters/clock.h"
#include "host/relay_server.h"

namespace
{

/* Workers whose answers are sent by the test. */
struct Workers {
	struct Call {
		std::string worker;
		std::string spec;
		std::string checkpoint;
		task_ref ref;
		uint64_t fence;
		int64_t deadline;
		uint32_t percent;
		poll_request poll;
		order_done on_order_done;
		poll_done on_poll_done;
		void *ctx;
	};

	Workers()
	{
		ops.start = add_order;
		ops.stop = add_order;
		ops.throttle = add_order;
		ops.poll = [](void *p, const worker_addr *w,
			      const poll_request *q, poll_done d, void *ctx) {
			Call c = {};
			c.worker = w->id;
			c.poll = *q;
			c.on_poll_done = d;
			c.ctx = ctx;
			((Workers *)p)->calls.push_back(c);
		};
	}

	static void add_order(void *p, const worker_addr *w, const order *o,
			      order_done d, void *ctx)
	{
		Call c = {};
		c.worker = w->id;
		c.spec.assign(o->spec.data ? o->spec.data : "", o->spec.len);
		c.checkpoint = o->checkpoint ? o->checkpoint : "";
		c.ref = o->ref;
		c.fence = o->fence;
		c.deadline = o->lease_deadline_ms;
		c.percent = o->speed_percent;
		c.on_order_done = d;
		c.ctx = ctx;
		((Workers *)p)->calls.push_back(c);
	}

	void answer(order_status status, int64_t clock = 0)
	{
		Call c = calls.front();
		order_reply r = {status, clock};
		worker_addr w = {};

		calls.erase(calls.begin());
		c.on_order_done(c.ctx, &w, &c.ref, &r);
	}

	worker_ops ops;
	std::vector<Call> calls;
};

constexpr uint64_t OWNER = 1;

/* An owner and the hosts that relay its calls; batches are delivered at once.
 */
class Relay : public testing::Test
{
      public:
	void SetUp() override
	{
		relay_net net = {};

		net.send = [](void *ctx, uint64_t to, str batch) {
			((Relay *)ctx)->to_host(to, batch);
		};
		net.disconnect = [](void *ctx, uint64_t) {
			((Relay *)ctx)->disconnects++;
		};
		net.ctx = this;
		relay_init(&r, &direct.ops, &direct, &net);
		started_wall_ms = clock_wall_ms();
		r.worker_count = 400;
		now = clock_boot_ms();
	}

	void TearDown() override
	{
		while (!relayed.calls.empty())
			relayed.answer(ORDER_UNKNOWN);
		relay_finish(&r);
		for (auto &h : hosts)
			relay_server_finish(&h.second);
	}

	void add_host(const std::string &name, uint32_t cpu_milli)
	{
		uint64_t id = name_hash(name.c_str());
		relay_net net = {};

		net.send = [](void *ctx, uint64_t, str batch) {
			((Relay *)ctx)->from_host(batch);
		};
		net.ctx = this;
		relay_server_init(&hosts[id], &relayed.ops, &relayed, &net);
		relay_peer_set(&r, name.c_str(), "10.0.0.1:1", cpu_milli);
	}

	void to_host(uint64_t to, str text)
	{
		relay_batch b = {};
		arena a;

		if (lose_batches)
			return;
		if (hold_batches) {
			held.emplace_back(to, std::string(text.data, text.len));
			return;
		}
		arena_init(&a);
		ASSERT_EQ(shape_read(&relay_batch_shape, text, &b, &a), 0);
		relay_server_receive(&hosts[to], OWNER, &b);
		arena_finish(&a);
		sender = to;
	}

	void from_host(str text)
	{
		relay_batch b = {};
		arena a;

		arena_init(&a);
		ASSERT_EQ(shape_read(&relay_batch_shape, text, &b, &a), 0);
		relay_receive(&r, sender, &b);
		arena_finish(&a);
	}

	void run(int64_t ms)
	{
		for (int64_t end = now + ms; now < end; now += 10) {
			relay_tick(&r, now);
			for (auto &h : hosts) {
				sender = h.first;
				relay_server_tick(&h.second, now);
			}
		}
	}

	/* Hosts answer the first ping and become active. */
	void activate_peers()
	{
		run(100);
		ASSERT_GT(r.active_count, 0u);
	}

	static void record_order(void *ctx, const worker_addr *,
				 const task_ref *ref, const order_reply *o)
	{
		Relay *t = (Relay *)ctx;

		t->statuses.push_back(o->status);
		t->last_ref = *ref;
		t->clock = o->clock;
	}

	void start(const std::string &worker)
	{
		worker_addr w = {};
		order o = {};

		name_set(w.id, worker.c_str());
		name_set(w.address, "10.0.0.9:1");
		o.ref = {7, 0, 1, 2, 3};
		o.fence = 9;
		o.lease_deadline_ms = 12345;
		o.spec = str_of("text");
		o.checkpoint = "saved";
		relay_worker_ops.start(&r, &w, &o, record_order, this);
	}

	/* Id of the host through which each worker is called. */
	std::map<std::string, uint64_t> hosts_of_workers(size_t count)
	{
		std::map<std::string, uint64_t> m;

		for (size_t i = 0; i < count; i++) {
			std::string worker = "i-" + std::to_string(i);

			sender = 0;
			start(worker);
			relay_tick(&r, now);
			m[worker] = sender;
			if (!relayed.calls.empty())
				relayed.answer(ORDER_OK);
		}
		run(20);
		return m;
	}

	static size_t count_moved(const std::map<std::string, uint64_t> &before,
				  const std::map<std::string, uint64_t> &after)
	{
		size_t n = 0;

		for (auto &w : before)
			n += after.at(w.first) != w.second;
		return n;
	}

	/* A deployment of 900 workers, for which 9 of the hosts are needed. */
	void add_large_deployment()
	{
		for (int i = 0; i < 12; i++)
			add_host("h" + std::to_string(i), 500);
		r.worker_count = 900;
		activate_peers();
		ASSERT_EQ(r.active_count, 9u);
	}

	relay r;
	Workers direct;
	Workers relayed;
	std::map<uint64_t, relay_server> hosts;
	uint64_t sender = 0;
	int64_t now = 0;
	int64_t started_wall_ms = 0;
	bool lose_batches = false;
	bool hold_batches = false;
	std::vector<std::pair<uint64_t, std::string>> held;
	int disconnects = 0;
	std::vector<order_status> statuses;
	task_ref last_ref = {};
	int64_t clock = 0;
	poll_reply reply = {};
	std::string ended_checkpoint;
};

TEST_F(Relay, CallsWorkersDirectlyInASmallDeployment)
{
	add_host("a", 8000);
	r.worker_count = 60;
	run(1000);
	start("w1");
	run(100);
	EXPECT_EQ(direct.calls.size(), 1u);
	EXPECT_EQ(relayed.calls.size(), 0u);
}

TEST_F(Relay, RelaysAnOrderAndItsAnswer)
{
	add_host("a", 8000);
	activate_peers();
	start("w1");
	run(20);
	ASSERT_EQ(relayed.calls.size(), 1u);
	Workers::Call c = relayed.calls[0];
	EXPECT_EQ(c.worker, "w1");
	EXPECT_EQ(c.spec, "text");
	EXPECT_EQ(c.checkpoint, "saved");
	EXPECT_EQ(c.ref.job, 7u);
	EXPECT_EQ(c.ref.run, 3u);
	EXPECT_EQ(c.fence, 9u);
	EXPECT_EQ(c.deadline, 12345);
	relayed.answer(ORDER_NO_ROOM, 777);
	run(50);
	ASSERT_EQ(statuses, std::vector<order_status>({ORDER_NO_ROOM}));
	EXPECT_EQ(last_ref.index, 2u);
	EXPECT_EQ(clock, 777);
}

TEST_F(Relay, RelaysThePollReplyOfAWorker)
{
	poll_request q = {9, 500, 4, 1000};
	worker_addr w = {};
	run_row row = {};
	ended_run end = {};
	poll_reply a = {};

	add_host("a", 8000);
	activate_peers();
	name_set(w.id, "w1");
	relay_worker_ops.poll(
		&r, &w, &q,
		[](void *ctx, const worker_addr *, const poll_reply *x) {
			Relay *t = (Relay *)ctx;
			t->reply = *x;
			ASSERT_EQ(x->running_count, 1u);
			ASSERT_EQ(x->ended_count, 1u);
			EXPECT_EQ(x->running[0].ref.step, 5u);
			EXPECT_EQ(x->running[0].measure, 42u);
			EXPECT_EQ(x->ended[0].number, 11u);
			EXPECT_EQ(x->ended[0].how, RUN_STOPPED);
			t->ended_checkpoint = x->ended[0].checkpoint;
		},
		this);
	run(20);
	ASSERT_EQ(relayed.calls.size(), 1u);
	EXPECT_EQ(relayed.calls[0].poll.ack, 4u);
	EXPECT_EQ(relayed.calls[0].poll.wait_ms, 1000u);
	row.ref.step = 5;
	row.measure = 42;
	end.number = 11;
	end.how = RUN_STOPPED;
	name_set(end.checkpoint, "cp");
	a.born = 99;
	a.refused = true;
	a.clock = 5000;
	a.running = &row;
	a.running_count = 1;
	a.ended = &end;
	a.ended_count = 1;
	relayed.calls[0].on_poll_done(relayed.calls[0].ctx, &w, &a);
	relayed.calls.clear();
	run(50);
	EXPECT_EQ(reply.born, 99u);
	EXPECT_TRUE(reply.refused);
	EXPECT_EQ(reply.clock, 5000);
	EXPECT_LE(reply.sent_ms, now);
	EXPECT_GT(reply.sent_ms, 0);
	EXPECT_EQ(ended_checkpoint, "cp");
}

TEST_F(Relay, FailsCallsOfAnUnreachableHost)
{
	add_host("a", 8000);
	activate_peers();
	lose_batches = true;
	start("w1");
	run(3000);
	ASSERT_EQ(statuses, std::vector<order_status>({ORDER_UNKNOWN}));
	EXPECT_EQ(disconnects, 1);
	start("w1"); /* direct, as no peer is usable */
	EXPECT_EQ(direct.calls.size(), 1u);
}

/* An owner that was short of processor time read answers late. It gave up all
 * calls, closed the connections of all peers, and called all workers itself,
 * which takes ten times as long. */
TEST_F(Relay, GivesUpNoCallWhoseAnswerItHasNotRead)
{
	add_host("a", 8000);
	activate_peers();
	start("w1");
	relay_tick(&r, now);
	ASSERT_EQ(relayed.calls.size(), 1u);
	now += 3000;
	relay_tick(&r, now);
	EXPECT_EQ(r.active_count, 1u);
	EXPECT_EQ(r.lost_calls, 0u);
	EXPECT_EQ(disconnects, 0);
	relayed.answer(ORDER_OK);
	for (auto &h : hosts) {
		sender = h.first;
		relay_server_tick(&h.second, now + 10);
	}
	EXPECT_EQ(statuses, std::vector<order_status>({ORDER_OK}));
	start("w2");
	EXPECT_TRUE(direct.calls.empty());
}

/* It waits once for the answers of the time in which it stood still. */
TEST_F(Relay, GivesUpACallWithoutAnAnswerAfterALongRound)
{
	add_host("a", 8000);
	activate_peers();
	lose_batches = true;
	start("w1");
	relay_tick(&r, now);
	now += 3000;
	relay_tick(&r, now);
	EXPECT_TRUE(statuses.empty());
	run(100);
	EXPECT_EQ(statuses, std::vector<order_status>({ORDER_UNKNOWN}));
}

TEST_F(Relay, CallsAWorkerDirectlyAfterALostAnswer)
{
	add_host("a", 8000);
	activate_peers();
	start("w1");
	run(20);
	relayed.answer(ORDER_UNKNOWN);
	run(20);
	start("w1");
	run(20);
	EXPECT_EQ(direct.calls.size(), 1u);
	EXPECT_EQ(relayed.calls.size(), 0u);
	start("w2");
	run(20);
	EXPECT_EQ(relayed.calls.size(), 1u);
}

TEST_F(Relay, DrainsAHostThatLeaves)
{
	add_host("a", 8000);
	activate_peers();
	start("w1");
	run(20);
	relay_peer_drain(&r, "a");
	start("w1");
	run(20);
	EXPECT_EQ(direct.calls.size(), 1u);
	relayed.answer(ORDER_OK); /* calls in flight are still answered */
	run(20);
	EXPECT_EQ(statuses, std::vector<order_status>({ORDER_OK}));
}

TEST_F(Relay, UsesTheStrongestHosts)
{
	add_host("weak", 120);
	add_host("strong", 1000);
	add_host("stronger", 2000);
	r.worker_count = 500;
	activate_peers();
	ASSERT_EQ(r.active_count, 2u);
	EXPECT_STREQ(r.active[0]->name, "stronger");
	EXPECT_STREQ(r.active[1]->name, "strong");
}

/* A worker that is called through another host than before gets new
 * connections. One host that left moved most workers, as the shares of those
 * behind it moved up. */
TEST_F(Relay, KeepsTheHostsOfMostWorkersWhenOneLeaves)
{
	add_large_deployment();
	auto before = hosts_of_workers(900);
	relay_peer_drain(&r, r.active[2]->name);
	run(100);
	ASSERT_EQ(r.active_count, 9u);
	EXPECT_LE(count_moved(before, hosts_of_workers(900)), 130u);
	EXPECT_TRUE(direct.calls.empty());
}

TEST_F(Relay, KeepsTheHostsOfAllWorkersWhenOneComesBack)
{
	add_large_deployment();
	std::string name = r.active[2]->name;
	relay_peer_drain(&r, name.c_str());
	run(100);
	auto before = hosts_of_workers(900);
	relay_peer_set(&r, name.c_str(), "10.0.0.1:2", 500);
	run(700);
	EXPECT_EQ(count_moved(before, hosts_of_workers(900)), 0u);
}

/* While one host had failed and no other one was selected yet, the owner called
 * all workers itself, on new connections. */
TEST_F(Relay, CallsNoWorkerOfTheOtherHostsDirectlyWhenOneFails)
{
	add_large_deployment();
	auto before = hosts_of_workers(900);
	uint64_t gone = r.active[2]->id;
	relay_peer_drain(&r, r.active[2]->name);
	for (auto &w : before)
		if (w.second != gone)
			start(w.first);
	EXPECT_LE(direct.calls.size(), 150u);
	run(20);
	while (!relayed.calls.empty())
		relayed.answer(ORDER_OK);
}

TEST_F(Relay, SpreadsWorkersByTheProcessorsOfTheHosts)
{
	std::map<uint64_t, size_t> share;

	for (int i = 0; i < 4; i++)
		add_host("h" + std::to_string(i), 500);
	add_host("strong", 2000);
	r.worker_count = 800;
	activate_peers();
	for (auto &w : hosts_of_workers(800))
		share[w.second]++;
	ASSERT_EQ(share.size(), 5u);
	for (auto &s : share) {
		size_t fair = s.first == name_hash("strong") ? 400 : 100;

		EXPECT_GT(s.second, fair * 3 / 4);
		EXPECT_LT(s.second, fair * 5 / 4);
	}
}

/*
 * The owner took the end of a run from another host as it came, and read the
 * name of the end behind a table of six.
 */
TEST_F(Relay, DropsAnAnswerWithAnUnknownEnd)
{
	relay_run ended = {};
	relay_answer a = {};
	relay_batch b = {};

	add_host("h1", 4000);
	activate_peers();
	start("i-1");
	run(20);
	ASSERT_EQ(relayed.calls.size(), 1u);
	a.seq = r.seq;
	a.ended = {&ended, 1};
	b.answers = {&a, 1};
	ended.how = RUN_GANG_INCOMPLETE + 1;
	relay_receive(&r, sender, &b);
	EXPECT_TRUE(statuses.empty());
	ended.how = RUN_GANG_INCOMPLETE;
	a.status = ORDER_INVALID + 1;
	relay_receive(&r, sender, &b);
	EXPECT_TRUE(statuses.empty());
	a.status = ORDER_OK;
	relay_receive(&r, sender, &b);
	EXPECT_EQ(statuses.size(), 1u);
}

/* An answer to a call with the same number, which another host was asked, was
 * taken for the answer to this one. */
TEST_F(Relay, DropsAnAnswerOfAHostThatWasNotAsked)
{
	relay_answer a = {};
	relay_batch b = {};

	add_host("h1", 4000);
	activate_peers();
	start("i-1");
	run(20);
	a.seq = r.seq;
	b.answers = {&a, 1};
	relay_receive(&r, name_hash("h2"), &b);
	EXPECT_TRUE(statuses.empty());
	relay_receive(&r, name_hash("h1"), &b);
	EXPECT_EQ(statuses.size(), 1u);
}

/* The calls of a host that had failed ended without an answer, and those that
 * waited for its next batch were sent to it all the same: a start arrived after
 * the stop of its run. */
TEST_F(Relay, SendsNoCallThatHasEndedWithItsHost)
{
	add_host("h1", 4000);
	activate_peers();
	lose_batches = true;
	start("i-1");
	run(1300);
	lose_batches = false;
	now += 500;
	start("i-2");
	relay_tick(&r, now);
	EXPECT_EQ(statuses,
		  std::vector<order_status>({ORDER_UNKNOWN, ORDER_UNKNOWN}));
	EXPECT_TRUE(relayed.calls.empty());
}

/*
 * A host that was paused read the calls that had come meanwhile, and made them
 * long after their owner had given them up: a start reached the next process
 * of a worker whose former one had confirmed the stop of that run.
 */
TEST_F(Relay, MakesNoCallThatItsOwnerHasGivenUp)
{
	add_host("h1", 4000);
	activate_peers();
	hold_batches = true;
	start("i-1");
	relay_tick(&r, now);
	ASSERT_EQ(held.size(), 1u);
	usleep(1500 * 1000);
	hold_batches = false;
	to_host(held[0].first, {held[0].second.data(), held[0].second.size()});
	EXPECT_TRUE(relayed.calls.empty());
	start("i-1");
	run(20);
	EXPECT_EQ(relayed.calls.size(), 1u);
}

/* A host whose clock is ahead by the time since its start took all calls for
 * old ones. */
TEST_F(Relay, GivesTheTimeLimitOfCallsOnTheClockOfTheirHost)
{
	const int64_t ahead = 100000000;
	relay_batch b = {};
	arena a;

	add_host("h1", 4000);
	activate_peers();
	b.clock = clock_boot_ms() + ahead;
	relay_receive(&r, name_hash("h1"), &b);
	hold_batches = true;
	start("i-1");
	relay_tick(&r, now);
	ASSERT_EQ(held.size(), 1u);
	b = {};
	arena_init(&a);
	ASSERT_EQ(shape_read(&relay_batch_shape,
			     {held[0].second.data(), held[0].second.size()}, &b,
			     &a),
		  0);
	arena_finish(&a);
	EXPECT_GT(b.valid_until - ahead, clock_boot_ms() + 900);
	EXPECT_LE(b.valid_until - ahead, clock_boot_ms() + 1400);
}

/* A host that restarted under its name numbered its calls anew, and the answers
 * to calls of its former process were taken for answers to its own. */
TEST_F(Relay, NumbersNoCallAsItsFormerProcessDid)
{
	const uint64_t calls_max = 1000000;
	relay_net net = {};
	relay next;

	while (clock_wall_ms() < started_wall_ms + 2)
		;
	relay_init(&next, &direct.ops, &direct, &net);
	EXPECT_GT(next.seq, r.seq + calls_max);
	relay_finish(&next);
}

} /* namespace */
