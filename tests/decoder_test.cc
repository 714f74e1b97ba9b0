#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/logger.h"
#include "base/rng.h"
#include "cell/effect_model.h"
#include "cell_world.h"
#include "core/document.h"
#include "core/record.h"
#include "host/record_relay.h"
#include "host/relay_server.h"
#include "platform/config.h"
#include "platform/platform.h"
#include "platform/settings.h"

/*
 * A single malformed message must not end a process, nor lose another record.
 * Each decoder that reads from the network or the store gets valid messages
 * with seeded mutations. DECODER_SEED selects another sequence of mutations.
 */

namespace
{

constexpr int MUTATIONS = 3000;
/* Each mutation of these starts a cell or a relay, which takes longer. */
constexpr int MUTATIONS_OF_CELLS = 400;
constexpr int EDITS_MAX = 3;
constexpr size_t SPAN_MAX = 24;
constexpr uint64_t JOB = 0x5c0e7a21d94b36f8u;
constexpr uint64_t OTHER_JOB = 0x5c0e7a21d94b36f9u;

class Mutator
{
      public:
	explicit Mutator(uint64_t stream)
	{
		const char *seed = getenv("DECODER_SEED");

		source.state =
			(seed ? strtoull(seed, nullptr, 10) : 1) * 1000003 +
			stream;
	}

	std::string mutate(std::string s)
	{
		for (uint64_t n = 1 + rng_below(&source, EDITS_MAX); n > 0; n--)
			edit(s);
		return s;
	}

      private:
	typedef void (Mutator::*Edit)(std::string &);

	void edit(std::string &s)
	{
		static const Edit edits[] = {
			&Mutator::flip,   &Mutator::cut,    &Mutator::drop,
			&Mutator::repeat, &Mutator::insert, &Mutator::swap,
			&Mutator::length, &Mutator::number,
		};

		if (s.empty())
			insert(s);
		else
			(this->*edits[rng_below(&source, std::size(edits))])(s);
	}

	size_t at(const std::string &s)
	{
		return rng_below(&source, s.size());
	}

	size_t span(const std::string &s, size_t from)
	{
		return 1 +
		       rng_below(&source, std::min(SPAN_MAX, s.size() - from));
	}

	void flip(std::string &s)
	{
		s[at(s)] ^= (char)(1 << rng_below(&source, 8));
	}

	void cut(std::string &s)
	{
		s.resize(at(s));
	}

	void drop(std::string &s)
	{
		size_t from = at(s);

		s.erase(from, span(s, from));
	}

	void repeat(std::string &s)
	{
		size_t from = at(s);

		s.insert(from, s.substr(from, span(s, from)));
	}

	void insert(std::string &s)
	{
		std::string bytes(1 + rng_below(&source, 8), '\0');

		for (char &c : bytes)
			c = (char)rng_next(&source);
		s.insert(rng_below(&source, s.size() + 1), bytes);
	}

	void swap(std::string &s)
	{
		std::swap(s[at(s)], s[at(s)]);
	}

	/* A length or a type of msgpack, or the first byte of a length. */
	void length(std::string &s)
	{
		static const char bytes[] = "\x00\x01\x7f\x80\x90\x9f\xa0\xbf"
					    "\xc4\xc6\xcf\xd3\xd9\xdb\xdc\xdd"
					    "\xde\xdf\xff";

		s[at(s)] = bytes[rng_below(&source, sizeof(bytes) - 1)];
	}

	/* Replaces a number of a text, or one of eight bytes of msgpack. */
	void number(std::string &s)
	{
		static const char *const numbers[] = {
			"-1",         "0",
			"65535",      "4294967295",
			"4294967296", "9223372036854775807",
			"1e300",      "-9223372036854775808",
			"0.5",        "\"x\"",
			"null",       "[]",
		};
		const char *digits = "0123456789";
		size_t from = s.find_first_of(digits, at(s));
		size_t to;

		if (from == std::string::npos) {
			s[at(s)] = '\xff';
			return;
		}
		to = s.find_first_not_of(digits, from);
		s.replace(from,
			  (to == std::string::npos ? s.size() : to) - from,
			  numbers[rng_below(&source, std::size(numbers))]);
	}

	struct rng source = {0};
};

/* Calls @decode with mutations of @seed, each in memory of just its size, so
 * that the address sanitizer sees a read behind the end. */
void for_each_mutation(uint64_t stream, const std::string &seed, int count,
		       const std::function<void(str)> &decode)
{
	Mutator m(stream);

	for (int i = 0; i < count; i++) {
		std::string s = m.mutate(seed);
		std::unique_ptr<char[]> exact(new char[s.size()]);

		memcpy(exact.get(), s.data(), s.size());
		decode({exact.get(), s.size()});
	}
}

std::string take(buf &b)
{
	std::string s(b.data ? b.data : "", b.len);

	buf_finish(&b);
	return s;
}

template <typename F> std::string written(F write)
{
	buf b;

	buf_init(&b);
	write(&b);
	return take(b);
}

class Decoder : public testing::Test
{
      protected:
	/* Refused records are logged; the lines are not part of the test. */
	void SetUp() override
	{
		quiet = fopen("/dev/null", "w");
		ASSERT_TRUE(quiet);
		logger_set_output(quiet);
	}

	void TearDown() override
	{
		logger_set_output(stderr);
		fclose(quiet);
	}

	FILE *quiet = nullptr;
};

class DecoderTest : public Decoder
{
};

const char JOB_BODY[] =
	"{\"spec\":\"t\",\"steps\":[{\"count\":4,\"cpu\":500,\"affinity\":"
	"\"r1\",\"estimatedMs\":100},{\"count\":2,\"after\":[0],"
	"\"keepCheckpoints\":true,\"fills\":true,\"image\":\"i\",\"targetMs\":"
	"50,\"antiAffinity\":1,\"cpu\":100}],\"repeatCount\":3,\"startAtMs\":"
	"99,\"intervalMs\":10}";

bool parse_job(str text, job_spec *s, arena *a)
{
	queue q = {};

	name_set(q.name, "q");
	name_set(q.service, "pool");
	q.attempts_max = 3;
	q.stretch_milli = 1500;
	return !job_parse(text, &q, JOB, 1000, s, a);
}

std::string job_record(str body)
{
	job_spec s;
	arena a;
	std::string out;

	arena_init(&a);
	if (parse_job(body, &s, &a))
		out = written([&](buf *b) { job_spec_write(&s, b); });
	arena_finish(&a);
	return out;
}

/* A cell on a host that has read the records of another job as well. */
class World : public CellWorld
{
      public:
	World()
	{
		submit(OTHER_JOB, {task_step(2)});
	}

	int put(const std::string &key, str value)
	{
		return job_view_apply(&view, {key.data(), key.size()}, value,
				      now);
	}

	/* Whether the other job is still there, and runs. */
	void expect_other_job_runs()
	{
		begin({"i-1", "i-2"}, 30000);
		ASSERT_TRUE(job_view_get(&view, OTHER_JOB));
		EXPECT_EQ(runs(OTHER_JOB), 2u);
	}
};

std::string key_of(uint64_t id, char kind)
{
	char key[JOB_KEY_SIZE];
	str s = job_key(id, kind, key);

	return std::string(s.data, s.len);
}

TEST_F(DecoderTest, CallersBodies)
{
	std::string record;

	for_each_mutation(1, JOB_BODY, MUTATIONS, [&](str body) {
		job_spec s = {};
		arena a;

		record = job_record(body);
		if (record.empty())
			return;
		arena_init(&a);
		EXPECT_EQ(job_spec_read({record.data(), record.size()}, &s, &a),
			  0);
		arena_finish(&a);
	});
}

TEST_F(DecoderTest, JobsOfMutatedBodiesInACell)
{
	for_each_mutation(2, JOB_BODY, MUTATIONS_OF_CELLS, [&](str body) {
		std::string record = job_record(body);
		World w;

		if (record.empty())
			return;
		EXPECT_EQ(w.put(key_of(JOB, 0), {record.data(), record.size()}),
			  0);
		w.begin({"i-1"}, 500);
		ASSERT_TRUE(job_view_get(&w.view, OTHER_JOB));
	});
}

const char WORKER[] =
	"{\"service\":\"pool\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","
	"\"state\":\"draining\",\"remainingMs\":1500,\"born\":1700,"
	"\"capacity\":{\"cpu\":16000,\"memMb\":32768},\"labels\":[\"a\","
	"\"r1-3\"],\"seq\":4}";

TEST_F(DecoderTest, WorkerEntries)
{
	World w;

	w.begin({"i-1"}, 500);
	for_each_mutation(3, WORKER, MUTATIONS, [&](str text) {
		worker_entry e;

		if (worker_entry_parse(str_of("i-9"), text, &e))
			return;
		EXPECT_LT(strlen(e.addr.address), (size_t)NAME_SIZE);
		cell_worker_update(w.c, &e);
		w.run(5);
	});
	EXPECT_EQ(w.runs(OTHER_JOB), 2u);
}

const char POLL[] =
	"{\"clockMs\":150048,\"born\":1000,\"running\":[["
	"\"5c0e7a21d94b36f9.0.0.1\",1000,\"0b\",41,12.6]],\"ended\":[[58,"
	"\"5c0e7a21d94b36f9.0.0.0\",1000,\"stopped\",\"\"]]}";

TEST_F(DecoderTest, PollReplies)
{
	for_each_mutation(4, POLL, MUTATIONS_OF_CELLS, [&](str body) {
		poll_reply r = {};
		arena a;
		World w;

		arena_init(&a);
		if (!poll_reply_parse(body, &r, &a)) {
			w.begin({"i-1"}, 100);
			w.long_polls = true;
			w.run(100);
			for (Call &call : w.calls)
				if (call.kind == Call::POLL) {
					Call c = call;
					w.calls.clear();
					c.on_poll_done(c.ctx, &c.worker, &r);
					break;
				}
			w.run(100);
		}
		arena_finish(&a);
	});
}

std::string frames()
{
	return written([](buf *b) {
		store_record_add(b, str_of("k1"), str_of("v1"));
		store_record_add(b, str_of("5c0e7a21d94b36f8"), str_of(""));
		store_record_add(b, str_of("k3"), str_of("a longer value"));
	});
}

bool is_within(str part, str whole)
{
	return !part.len || (part.data >= whole.data &&
			     part.data + part.len <= whole.data + whole.len);
}

TEST_F(DecoderTest, StoreReads)
{
	std::string body = std::string(15, '\0') + "\x03" + frames();

	for_each_mutation(5, body, MUTATIONS, [&](str text) {
		store_reply r = {};
		arena a;

		arena_init(&a);
		if (!store_read_parse(text, 40, &r, &a))
			for (size_t i = 0; i < r.count; i++) {
				EXPECT_EQ(r.records[i].offset, 40 + i);
				EXPECT_TRUE(is_within(r.records[i].key, text));
				EXPECT_TRUE(
					is_within(r.records[i].value, text));
			}
		arena_finish(&a);
	});
}

TEST_F(DecoderTest, RecordFrames)
{
	for_each_mutation(6, frames(), MUTATIONS, [&](str text) {
		size_t left = text.len;
		store_record r;
		str rest = text;

		for (int err = 0; err != -ENOENT && err != -EBADMSG;) {
			err = store_record_take(&rest, &r);
			ASSERT_TRUE(rest.len < left || err == -ENOENT ||
				    err == -EBADMSG);
			left = rest.len;
		}
		store_records_valid(text);
	});
}

TEST_F(DecoderTest, StoreListings)
{
	const char page[] =
		"{\"items\":[{\"key\":\"config\",\"value\":\"aGVsbG8=\","
		"\"offset\":4},{\"key\":\"evacuate/z\",\"value\":\"\","
		"\"offset\":5}],\"hasMore\":true,\"endOffset\":6}";

	for_each_mutation(7, page, MUTATIONS, [&](str text) {
		store_reply r = {};
		arena a;

		arena_init(&a);
		if (store_newest_parse(text, &r, &a)) {
			EXPECT_EQ(r.count, 0u);
		}
		arena_finish(&a);
	});
}

TEST_F(DecoderTest, RepliesToAppends)
{
	const char body[] = "{\"offset\":4812,\"endOffset\":4815}";

	for_each_mutation(21, body, MUTATIONS, [&](str text) {
		store_reply r = {};

		if (!store_append_parse(text, &r)) {
			EXPECT_LE(r.end, (uint64_t)INT64_MAX);
		}
	});
}

TEST_F(DecoderTest, RepliesToJoins)
{
	const char body[] = "{\"generation\":17,\"parts\":[[\"cells\",3],"
			    "[\"other\",0],[\"cells\",11]]}";
	int whole = 0;

	for_each_mutation(22, body, MUTATIONS, [&](str text) {
		store_reply r = {};

		if (store_join_parse(text, "cells", &r)) {
			EXPECT_EQ(r.assigned, 0u);
		}
		whole += r.assigned == (1u << 3 | 1u << 11);
	});
	EXPECT_GT(whole, 0);
}

TEST_F(DecoderTest, Conflicts)
{
	const char body[] = "{\"reason\":\"seq\",\"seq\":41}";

	for_each_mutation(23, body, MUTATIONS, [&](str text) {
		store_reply r = {};

		EXPECT_NE(store_conflict_parse(text, &r), STORE_OK);
	});
}

/* What an owner stores, for a mutated record of each kind. */
class Records : public Decoder
{
      protected:
	void check(uint64_t stream, const std::string &key,
		   const std::string &value)
	{
		for_each_mutation(
			stream, value, MUTATIONS_OF_CELLS, [&](str text) {
				std::string spec = job_record(str_of(JOB_BODY));
				int64_t begin;
				World w;

				w.put(key_of(JOB, 0),
				      {spec.data(), spec.size()});
				w.put(key, text);
				begin = w.now;
				w.begin({"i-1", "i-2"}, 20);
				w.run(500);
				EXPECT_GE(w.now, begin);
				job_entry *e = job_view_get(&w.view, OTHER_JOB);
				ASSERT_TRUE(e);
				ASSERT_TRUE(e->spec);
				expect_counts(w);
			});
	}

	/* A counter that falls below zero shows as a huge one. */
	static void expect_counts(World &w)
	{
		cell_counts n = w.counts();

		EXPECT_LE(n.waiting + n.placed, (uint32_t)JOB_TASKS_STORED_MAX);
	}
};

TEST_F(Records, Jobs)
{
	std::string spec = job_record(str_of(JOB_BODY));

	for_each_mutation(8, spec, MUTATIONS_OF_CELLS, [&](str text) {
		World w;

		w.put(key_of(JOB, 0), text);
		w.begin({"i-1"}, 300);
		ASSERT_TRUE(job_view_get(&w.view, OTHER_JOB));
		expect_counts(w);
	});
}

std::string progress_record()
{
	step_progress rows[4] = {};
	job_progress p = {1, JOB_RUNNING, {rows, 4}};

	rows[0].all_done = 1;
	rows[1].step = 1;
	rows[1].done = {"\x01", 1};
	rows[1].ordered = {"\x03", 1};
	rows[1].workers = {"\x05\x01", 2};
	rows[2].occurrence = 1;
	rows[2].failures = {"\0\2\1\0\2\0\0\0", 8};
	rows[3].occurrence = 1;
	rows[3].step = 1;
	return written([&](buf *b) { job_progress_write(&p, b); });
}

TEST_F(Records, Progress)
{
	check(9, key_of(JOB, 'p'), progress_record());
}

TEST_F(Records, KnownWorkers)
{
	known_worker w = {};

	name_set(w.address, "10.0.0.1:80");
	w.born = 1ull << 40;
	w.lease_left_ms = 4000;
	check(10, "w/i-1", written([&](buf *b) { known_worker_write(&w, b); }));
}

TEST_F(Records, Owners)
{
	cell_owner o = {"host-1", "10.0.0.1:80"};

	check(11, OWNER_KEY, written([&](buf *b) { cell_owner_write(&o, b); }));
}

TEST_F(Records, EffectModels)
{
	effect_neighbour n = {};
	load_curve curve;
	effect_model m;

	n.image = name_hash("report");
	n.share = 0.5;
	effect_model_init(&m);
	effect_model_curve_init(&m, name_hash("front"), &curve);
	effect_model_learn(&m, name_hash("front"), &curve, 1, 2, &n, 1);
	std::string text = written([&](buf *b) { effect_model_write(&m, b); });
	effect_model_finish(&m);
	check(12, EFFECT_MODEL_KEY, text);
}

std::string relay_message(bool answers)
{
	static const char checkpoint[] = "0b";
	relay_call calls[2] = {};
	relay_answer answer = {};
	relay_run runs[2] = {};
	relay_batch batch = {};

	for (auto &c : calls) {
		c.seq = 1;
		c.op = RELAY_START;
		name_set(c.worker, "i-1");
		name_set(c.address, "10.0.0.1:80");
		c.job = JOB;
		c.spec = str_of("text");
		c.checkpoint = str_of(checkpoint);
		c.deadline = 4000;
	}
	calls[1].op = RELAY_POLL;
	for (auto &r : runs) {
		r.job = JOB;
		r.run = 1000;
		r.how = RUN_STOPPED;
		r.checkpoint = str_of(checkpoint);
	}
	answer.seq = 1;
	answer.running = {runs, 1};
	answer.ended = {runs + 1, 1};
	if (answers)
		batch.answers = {&answer, 1};
	else
		batch.calls = {calls, 2};
	return written(
		[&](buf *b) { shape_write(&relay_batch_shape, &batch, b); });
}

TEST_F(DecoderTest, RelayedCalls)
{
	for_each_mutation(13, relay_message(false), MUTATIONS, [&](str text) {
		relay_batch batch = {};
		relay_server server;
		worker_ops ops = {};
		relay_net net = {};
		arena a;

		ops.start = [](void *, const worker_addr *w, const order *o,
			       order_done done, void *ctx) {
			order_reply r = {ORDER_OK, 1};
			done(ctx, w, &o->ref, &r);
		};
		ops.stop = ops.throttle = ops.start;
		ops.poll = [](void *, const worker_addr *w,
			      const poll_request *, poll_done done, void *ctx) {
			poll_reply r = {};
			done(ctx, w, &r);
		};
		net.send = [](void *, uint64_t, str) {};
		arena_init(&a);
		relay_server_init(&server, &ops, nullptr, &net);
		if (!shape_read(&relay_batch_shape, text, &batch, &a))
			relay_server_receive(&server, 7, &batch);
		relay_server_tick(&server, 1000);
		relay_server_finish(&server);
		arena_finish(&a);
	});
}

TEST_F(DecoderTest, RelayedAnswers)
{
	for_each_mutation(14, relay_message(true), MUTATIONS, [&](str text) {
		relay_batch batch = {};
		arena a;

		arena_init(&a);
		if (!shape_read(&relay_batch_shape, text, &batch, &a))
			for (size_t i = 0; i < batch.answers.count; i++) {
				poll_reply r = {};

				if (relay_answer_check((relay_answer *)batch
							       .answers.items +
						       i))
					continue;
				relay_answer_decode(
					(relay_answer *)batch.answers.items + i,
					&r, &a);
				EXPECT_LE((int)r.status, (int)ORDER_INVALID);
				for (size_t k = 0; k < r.ended_count; k++)
					EXPECT_LE((int)r.ended[k].how,
						  (int)RUN_GANG_INCOMPLETE);
			}
		arena_finish(&a);
	});
}

TEST_F(DecoderTest, RecordsForTheOwner)
{
	std::vector<std::string> sent;
	std::string records = frames();
	record_relay_ops ops = {};
	relay_net net = {};
	record_relay r;

	net.send = [](void *ctx, uint64_t, str text) {
		((std::vector<std::string> *)ctx)
			->push_back(std::string(text.data, text.len));
	};
	net.disconnect = [](void *, uint64_t) {};
	net.ctx = &sent;
	ops.accept = [](void *, uint64_t, uint64_t, str text) {
		EXPECT_TRUE(store_records_valid(text));
		return true;
	};
	record_relay_init(&r, &net, &ops, nullptr, 5);
	record_relay_send(
		&r, 6, {records.data(), records.size()},
		[](void *, store_status) {}, nullptr);
	ASSERT_EQ(sent.size(), 1u);
	std::string message = sent[0];
	for_each_mutation(15, message, MUTATIONS,
			  [&](str text) { record_relay_receive(&r, 6, text); });
	record_relay_finish(&r);
}

TEST_F(DecoderTest, PeerFrames)
{
	task_status tasks[2] = {};
	msg m = {};

	m.kind = MSG_INVENTORY;
	m.from = UINT64_MAX;
	name_set(m.service, "check-in");
	m.payload = str_of("bytes");
	tasks[0].job = 3;
	tasks[1].result = str_of("done");
	m.tasks = {tasks, 2};
	std::string text = written([&](buf *b) { msg_pack(&m, b); });
	for_each_mutation(16, text, MUTATIONS, [&](str t) {
		msg decoded;
		arena a;

		arena_init(&a);
		if (!msg_unpack(t.data, t.len, &decoded, &a)) {
			EXPECT_LT(decoded.kind, (uint32_t)MSG_KIND_MAX);
		}
		arena_finish(&a);
	});
}

const char CONFIG[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"a.example\","
	"\"pathPrefix\":\"/x/\",\"timeoutMs\":3000,\"targetLatencyMs\":250,"
	"\"priority\":2,\"service\":\"pool\",\"maxAttempts\":4,\"stretch\":1.5}"
	",{\"name\":\"r-2\",\"pathPrefix\":\"/x/y/\",\"service\":\"other\"}],"
	"\"limits\":{\"maxBodyBytes\":1000},\"tenants\":[{\"name\":\"t\","
	"\"apiKeys\":[\"k1\",\"k2\"],\"weight\":3,\"maxCount\":{\"cpu\":9}}]}";

TEST_F(DecoderTest, Configurations)
{
	for_each_mutation(17, CONFIG, MUTATIONS, [&](str text) {
		queue_table t;

		if (config_parse(text, &t)) {
			EXPECT_EQ(t.count, 0u);
		} else {
			queue_table_match(&t, "a.example", "/x/y/1");
		}
		queue_table_finish(&t);
	});
}

const char SETTINGS[] =
	"{\"nodeName\":\"h\",\"zone\":\"z\",\"ip\":\"10.1.0.13\","
	"\"heartbeatMs\":1100,\"internalPorts\":[7720,7735],\"listen\":{"
	"\"front\":\"10.1.0.13:1\",\"readiness\":\"10.1.0.13:2\"},\"limits\":{"
	"\"cpuShare\":0.25,\"memoryMb\":260,\"maxFds\":4100},\"bounds\":{"
	"\"maxHoldMs\":6000,\"configApplyMs\":2000,\"visible_ms\":3000,"
	"\"status_s\":120,\"graceS\":6,\"early_ms\":250},\"platform\":{"
	"\"address\":\"10.2.0.1:3\",\"writesPerS\":600,\"readsPerS\":2000,"
	"\"parts\":24,\"recordBytes\":262144,\"requestBytes\":2097152,"
	"\"minTtlMs\":1000}}";

TEST_F(DecoderTest, Settings)
{
	for_each_mutation(18, SETTINGS, MUTATIONS, [&](str text) {
		host_settings s;
		buf error;

		buf_init(&error);
		if (host_settings_parse(text, &s, &error)) {
			EXPECT_GT(error.len, 0u);
		} else {
			EXPECT_LE(s.peer_port, 65535u);
		}
		buf_finish(&error);
	});
}

TEST_F(DecoderTest, Documents)
{
	const char text[] =
		"{\"kind\":\"service\",\"name\":\"s\",\"version\":1,\"owner\":"
		"\"o\",\"team\":\"t\",\"class\":\"batch\",\"idempotent\":true,"
		"\"urgency\":3,\"cpu_milli\":1000,\"memory_mb\":100,"
		"\"deadline_ms\":60000,\"run_ms\":1000,\"zones\":[\"a\",\"b\"],"
		"\"may_displace\":[\"x\"]}";

	for_each_mutation(19, text, MUTATIONS, [&](str t) {
		document d;

		if (!document_parse(&d, t, nullptr))
			document_finish(&d);
	});
}

TEST_F(DecoderTest, Batches)
{
	struct record r = {};
	struct batch b = {};

	r.kind = RECORD_FINISH;
	r.job = JOB;
	name_set(r.key, "key");
	r.result = str_of("line\nbreak");
	b.writer = 1;
	b.seq = 2;
	std::string records = written([&](buf *out) { record_write(&r, out); });
	std::string text = written([&](buf *out) {
		batch_write(&b, {records.data(), records.size()}, out);
	});
	for_each_mutation(20, text, MUTATIONS, [&](str t) {
		struct batch decoded;
		arena a;

		arena_init(&a);
		batch_read(t, &decoded, &a);
		arena_finish(&a);
	});
}

} /* namespace */
