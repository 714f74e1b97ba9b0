#ifndef BENCH_OWNER_LOAD_H
#define BENCH_OWNER_LOAD_H

#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <time.h>
#include <unordered_map>

#include "host/relay_server.h"
#include "tests/cell_load.h"

/* The time of the owner, its peers and all workers. The definitions of the
 * clock functions in the benchmark return it. */
extern int64_t owner_load_now;

/**
 * struct OwnerCharge - processor time that is charged to the virtual clock
 * @factor: multiple of the measured time of the owner's parts; 0 for none
 * @relayed_us: of a call through a peer; half of it when the answer is read
 * @direct_us: of a call without a peer, likewise
 * @round_us: of each round of the event loop
 */
struct OwnerCharge {
	double factor = 0;
	double relayed_us = 0;
	double direct_us = 0;
	double round_us = 0;
};

/**
 * struct OwnerTimes - seconds of processor time by part of the owner
 */
struct OwnerTimes {
	double tick = 0;
	double take_batch = 0;
	double batch_stored = 0;
	double view = 0;
	double answers = 0;
	double relay_encode = 0;
	double relay_decode = 0;

	double sum() const
	{
		return tick + take_batch + batch_stored + view + answers +
		       relay_encode + relay_decode;
	}
};

/* Workers of 490 for which the arrivals below are given. */
static const double SITE_490 = 490;

/*
 * An owner, the hosts that relay its calls, and workers whose tasks end by
 * themselves, without a network: batches of calls and answers are encoded and
 * decoded as on a network and take LINK_MS. Each call of step() plays one round
 * of the owner's event loop.
 */
class OwnerLoad : public CellWorld
{
      public:
	static const int64_t LINK_MS = 1;
	static const int64_t STORE_MS = 12;
	static const int64_t COMMIT_PERIOD_MS = 15;
	static const int64_t ROUND_MS = 5;
	/* With polls that end early, about 5 rounds in 8 are due at once. */
	static const int64_t FILL_MS = 3000;

	OwnerLoad(size_t count, size_t host_count, unsigned seed)
	    : worker_count(count), rng(seed)
	{
		relay_net net = {};

		owner_load_now = now;
		worker_calls = wops;
		direct_calls.start = [](void *p, const worker_addr *w,
					const order *o, order_done d,
					void *ctx) {
			((OwnerLoad *)p)
				->send_direct(Call::START, w, o, d, ctx);
		};
		direct_calls.stop = [](void *p, const worker_addr *w,
				       const order *o, order_done d,
				       void *ctx) {
			((OwnerLoad *)p)->send_direct(Call::STOP, w, o, d, ctx);
		};
		direct_calls.throttle = [](void *p, const worker_addr *w,
					   const order *o, order_done d,
					   void *ctx) {
			((OwnerLoad *)p)
				->send_direct(Call::THROTTLE, w, o, d, ctx);
		};
		direct_calls.poll = [](void *p, const worker_addr *w,
				       const poll_request *q, poll_done d,
				       void *ctx) {
			((OwnerLoad *)p)->poll_direct(w, q, d, ctx);
		};
		net.send = [](void *ctx, uint64_t to, str text) {
			((OwnerLoad *)ctx)->to_host(to, text);
		};
		net.disconnect = [](void *ctx, uint64_t) {
			((OwnerLoad *)ctx)->disconnects++;
		};
		net.ctx = this;
		relay_init(&relay, &direct_calls, this, &net);
		for (size_t i = 0; i < host_count; i++)
			add_host("h" + std::to_string(i), i % 3 ? 500 : 250);
		set_timed_calls();
		ops.now = [](void *ctx) {
			OwnerLoad *l = (OwnerLoad *)ctx;

			return l->now + l->spent_ms();
		};
		opt.record_max_bytes = 262144;
		opt.append_max_bytes = 2000000;
		opt.heartbeat_ms = 1000;
		relay.worker_count = (uint32_t)count;
		take_over(1);
		for (size_t i = 0; i < count; i++)
			add(i);
		run_load(2000, false);
		fill();
	}

	~OwnerLoad() override
	{
		is_ending = true;
		stop();
		for (auto &q : held)
			for (auto &call : q.second)
				drop_call(call);
		read_answers(INT64_MAX);
		relay_finish(&relay);
		for (auto &h : hosts)
			relay_server_finish(&h.second.server);
		buf_finish(&batch);
	}

	/* Plays the arrivals of the site for @ms. */
	void run_load(int64_t ms, bool arrivals = true)
	{
		for (int64_t end = now + ms; now < end;) {
			int64_t from = now;

			step();
			if (arrivals)
				arrive(now - from);
		}
	}

	/* Plays until the last of the long-running tasks has started. */
	void fill()
	{
		size_t jobs = (size_t)(16100.0 / SITE_490 *
				       (double)worker_count / (14 * 6.4));

		for (size_t i = 0; i < jobs; i += jobs / 20 + 1) {
			for (size_t k = i; k < jobs && k < i + jobs / 20 + 1;
			     k++)
				submit_serving();
			run_load(FILL_MS / 20, false);
		}
		run_load(2000, false);
	}

	/* Ticks, as a round of the event loop does, after the answers that have
	 * arrived. */
	void step()
	{
		int64_t tick_ms;

		work_us += charge.round_us;
		read_answers(now);
		pass_spent(0);
		tick_ms = now;
		cell_set_authority(c, authority ? now + 4000 : 0);
		timed(times.tick, [&] { cell_tick(c, tick_ms, tick_ms); });
		commit_batch();
		pass_spent(0);
		timed(times.relay_encode, [&] { relay_tick(&relay, tick_ms); });
		rounds++;
		pass_spent(ROUND_MS);
		longest_round_ms =
			std::max(longest_round_ms, now - round_began_ms);
		round_began_ms = now;
	}

	/* The time passes by what the owner has spent, and by @least. */
	void pass_spent(int64_t least)
	{
		int64_t ms = (int64_t)(work_us / 1000);

		work_us -= (double)ms * 1000;
		others(std::max(ms, least));
	}

	void reset()
	{
		times = OwnerTimes();
		rounds = 0;
		longest_round_ms = 0;
		round_began_ms = now;
		bytes_out = bytes_in = stored_bytes = 0;
		polls_answered = 0;
		before = counts();
		before_direct = relay.direct_calls;
		before_lost = relay.lost_calls;
	}

	/* Runs whose lease has expired as the owner did not extend it. */
	size_t expired = 0;
	size_t disconnects = 0;
	uint64_t rounds = 0;
	int64_t longest_round_ms = 0;
	uint64_t polls_answered = 0;
	uint64_t bytes_out = 0;
	uint64_t bytes_in = 0;
	uint64_t stored_bytes = 0;
	/* The store does not take batches. */
	bool store_dark = false;
	/* The owner's process is paused for this long after the next round. */
	int64_t pause_ms = 0;
	cell_counts before = {};
	uint64_t before_direct = 0;
	uint64_t before_lost = 0;
	OwnerTimes times;
	OwnerCharge charge;
	struct relay relay;
	size_t worker_count;

      private:
	struct Host {
		OwnerLoad *load;
		uint64_t id;
		relay_server server;
	};

	struct Message {
		int64_t at;
		uint64_t host;
		std::string text;
	};

	struct Answer {
		int64_t at;
		std::function<void()> deliver;
	};

	struct DueEnd {
		int64_t at;
		std::string worker;
		task_ref ref;
		bool operator<(const DueEnd &o) const
		{
			return at > o.at;
		}
	};

	static double cpu_seconds()
	{
		timespec t;

		clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
		return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
	}

	/* What the owner has spent since the beginning of this round. */
	int64_t spent_ms()
	{
		double us = work_us;

		if (timed_from > 0 && charge.factor > 0)
			us += (cpu_seconds() - timed_from) * 1e6 *
			      charge.factor;
		return (int64_t)(us / 1000);
	}

	template <class F> void timed(double &sum, F f)
	{
		timed_from = cpu_seconds();
		f();
		timed_from = cpu_seconds() - timed_from;
		sum += timed_from;
		work_us += timed_from * 1e6 * charge.factor;
		timed_from = 0;
	}

	void set_timed_calls()
	{
		wops.start = [](void *p, const worker_addr *w, const order *o,
				order_done d, void *ctx) {
			OwnerLoad *l = (OwnerLoad *)p;

			l->charge_call(w);
			relay_worker_ops.start(&l->relay, w, o, d, ctx);
		};
		wops.stop = [](void *p, const worker_addr *w, const order *o,
			       order_done d, void *ctx) {
			OwnerLoad *l = (OwnerLoad *)p;

			l->charge_call(w);
			relay_worker_ops.stop(&l->relay, w, o, d, ctx);
		};
		wops.throttle = [](void *p, const worker_addr *w,
				   const order *o, order_done d, void *ctx) {
			OwnerLoad *l = (OwnerLoad *)p;

			l->charge_call(w);
			relay_worker_ops.throttle(&l->relay, w, o, d, ctx);
		};
		wops.poll = [](void *p, const worker_addr *w,
			       const poll_request *q, poll_done d, void *ctx) {
			OwnerLoad *l = (OwnerLoad *)p;

			l->charge_call(w);
			relay_worker_ops.poll(&l->relay, w, q, d, ctx);
		};
	}

	void charge_call(const worker_addr *)
	{
		work_us += charge.relayed_us / 2;
	}

	void add_host(const std::string &name, uint32_t cpu_milli)
	{
		uint64_t id = name_hash(name.c_str());
		relay_net net = {};
		Host &h = hosts[id];

		h.load = this;
		h.id = id;
		net.send = [](void *ctx, uint64_t, str text) {
			Host *from = (Host *)ctx;

			from->load->to_owner(from->id, text);
		};
		net.ctx = &h;
		relay_server_init(&h.server, &worker_calls, this, &net);
		relay_peer_set(&relay, name.c_str(), "10.0.0.1:1", cpu_milli);
	}

	void add(size_t i)
	{
		std::string id = "w" + std::to_string(i);

		add_worker(id, i % 10 < 7 ? 32000 : 48000,
			   "z" + std::to_string(i % 5));
		name_set(entries[id].labels[1],
			 ("r" + std::to_string(i / 20)).c_str());
		entries[id].memory_mb = 125000;
		announce(id);
	}

	void to_host(uint64_t id, str text)
	{
		bytes_out += text.len;
		to_hosts.push_back(
			{now + LINK_MS, id, std::string(text.data, text.len)});
	}

	void to_owner(uint64_t id, str sent)
	{
		std::string text(sent.data, sent.len);

		inbox.push_back({now + LINK_MS,
				 [this, id, text] { receive(id, text); }});
	}

	void receive(uint64_t id, const std::string &text)
	{
		relay_batch b = {};
		arena a;

		bytes_in += text.size();
		arena_init(&a);
		timed(times.relay_decode, [&] {
			if (shape_read(&relay_batch_shape,
				       {text.data(), text.size()}, &b, &a))
				abort();
		});
		work_us += charge.relayed_us / 2 * (double)b.answers.count;
		polls_answered += count_polls(b);
		timed(times.answers, [&] { relay_receive(&relay, id, &b); });
		arena_finish(&a);
	}

	static uint64_t count_polls(const relay_batch &b)
	{
		const relay_answer *rows =
			(const relay_answer *)b.answers.items;
		uint64_t n = 0;

		for (size_t i = 0; i < b.answers.count; i++)
			n += rows[i].born != 0;
		return n;
	}

	/* Answers that arrive during a round are read in the next one. */
	void read_answers(int64_t until)
	{
		std::deque<Answer> due;

		while (!inbox.empty() && inbox.front().at <= until) {
			due.push_back(inbox.front());
			inbox.pop_front();
		}
		for (auto &a : due)
			a.deliver();
	}

	struct Direct {
		OwnerLoad *load;
		order_done done;
		poll_done on_poll_done;
		void *ctx;
	};

	static void on_direct_order(void *ctx, const worker_addr *w,
				    const task_ref *ref, const order_reply *r)
	{
		Direct d = *(Direct *)ctx;
		OwnerLoad *l = d.load;
		worker_addr worker = *w;
		task_ref run = *ref;
		order_reply reply = *r;

		delete (Direct *)ctx;
		auto deliver = [l, d, worker, run, reply] {
			l->work_us += l->charge.direct_us / 2;
			d.done(d.ctx, &worker, &run, &reply);
		};
		if (l->is_ending)
			deliver();
		else
			l->inbox.push_back({l->now + LINK_MS, deliver});
	}

	static void on_direct_poll(void *ctx, const worker_addr *w,
				   const poll_reply *r)
	{
		Direct d = *(Direct *)ctx;
		OwnerLoad *l = d.load;
		worker_addr worker = *w;
		poll_reply reply = *r;
		std::vector<run_row> running(r->running,
					     r->running + r->running_count);
		std::vector<ended_run> ended(r->ended,
					     r->ended + r->ended_count);

		delete (Direct *)ctx;
		auto deliver = [l, d, worker, reply, running, ended] {
			poll_reply copy = reply;

			copy.running = running.data();
			copy.ended = ended.data();
			l->work_us += l->charge.direct_us / 2;
			d.on_poll_done(d.ctx, &worker, &copy);
		};
		if (l->is_ending)
			deliver();
		else
			l->inbox.push_back({l->now + LINK_MS, deliver});
	}

	void send_direct(Call::Kind kind, const worker_addr *w, const order *o,
			 order_done done, void *ctx)
	{
		work_us += charge.direct_us / 2;
		add_call(kind, w, o, on_direct_order,
			 new Direct{this, done, nullptr, ctx});
	}

	void poll_direct(const worker_addr *w, const poll_request *q,
			 poll_done done, void *ctx)
	{
		work_us += charge.direct_us / 2;
		worker_calls.poll(this, w, q, on_direct_poll,
				  new Direct{this, nullptr, done, ctx});
	}

	void commit_batch()
	{
		if (batch_due_ms && now >= batch_due_ms && !store_dark) {
			batch_due_ms = 0;
			next_batch_ms = now + COMMIT_PERIOD_MS;
			timed(times.view, [&] { apply(batch); });
			timed(times.batch_stored,
			      [&] { cell_batch_stored(c); });
			stored_bytes += batch.len;
			buf_clear(&batch);
		}
		if (batch_due_ms || now < next_batch_ms)
			return;
		bool taken = false;
		timed(times.take_batch,
		      [&] { taken = cell_take_batch(c, &batch); });
		if (taken)
			batch_due_ms = now + STORE_MS;
	}

	/* All but the owner goes on for @ms. */
	void others(int64_t ms)
	{
		for (ms += pause_ms, pause_ms = 0; ms > 0; ms--) {
			now++;
			owner_load_now = now;
			deliver_to_hosts();
			end_due();
			answer_calls();
			for (auto &h : hosts)
				relay_server_tick(&h.second.server, now);
			if (now % 100 == 0)
				expire_runs();
		}
	}

	void deliver_to_hosts()
	{
		while (!to_hosts.empty() && to_hosts.front().at <= now) {
			Message m = to_hosts.front();
			relay_batch b = {};
			arena a;

			to_hosts.pop_front();
			arena_init(&a);
			if (shape_read(&relay_batch_shape,
				       {m.text.data(), m.text.size()}, &b, &a))
				abort();
			relay_server_receive(&hosts[m.host].server, 1, &b);
			arena_finish(&a);
		}
	}

	void answer_calls()
	{
		std::vector<Call> out;

		starts.clear();
		out.swap(calls);
		for (auto &call : out) {
			FakeWorker &w = workers[call.worker.id];

			if (call.kind != Call::POLL) {
				execute(w, call);
			} else if (!w.ended.empty() || !call.poll.wait_ms) {
				answer_poll(w, call);
			} else {
				waits.push({now + call.poll.wait_ms,
					    call.worker.id,
					    {}});
				held[call.worker.id].push_back(call);
			}
		}
		while (!waits.empty() && waits.top().at <= now) {
			std::string id = waits.top().worker;

			waits.pop();
			answer_held(id, true);
		}
	}

	void answer_held(const std::string &id, bool due_only)
	{
		auto h = held.find(id);
		std::vector<Call> left, out;

		if (h == held.end())
			return;
		out.swap(h->second);
		for (auto &call : out)
			if (due_only && now < call.at + call.poll.wait_ms)
				left.push_back(call);
			else
				answer_poll(workers[id], call);
		h->second.insert(h->second.end(), left.begin(), left.end());
	}

	void expire_runs()
	{
		for (auto &w : workers) {
			size_t n = w.second.running.size();

			expire_lease(w.second);
			expired += n - w.second.running.size();
			if (n != w.second.running.size())
				answer_held(w.first, false);
		}
	}

	void end_due()
	{
		while (!ends.empty() && ends.top().at <= now) {
			DueEnd e = ends.top();
			FakeWorker &w = workers[e.worker];

			ends.pop();
			for (size_t i = 0; i < w.running.size(); i++) {
				const task_ref &r = w.running[i].ref;

				if (!is_same_task(r, e.ref) ||
				    r.run != e.ref.run)
					continue;
				end_at(w, i, RUN_DONE);
				answer_held(e.worker, false);
				break;
			}
		}
	}

	void on_start(const std::string &worker, const order &sent) override
	{
		const job_entry *e = job_view_get(&view, sent.ref.job);
		const job_step *s;
		Row &r = workers[worker].running.back();
		double ms;

		if (!e)
			return;
		s = job_spec_step(e->spec, sent.ref.step);
		r.measure = s->target_ms ? s->target_ms / 3 : s->cpu * 3 / 4;
		if (s->flags & STEP_LONG_RUNNING) {
			r.percent = 100;
			return;
		}
		ms = s->estimate_ms *
		     std::uniform_real_distribution<>(0.6, 1.4)(rng);
		ends.push({now + (int64_t)ms, worker, sent.ref});
	}

	uint32_t vary(double mean)
	{
		return (uint32_t)(mean *
				  std::uniform_real_distribution<>(0.5,
								   1.5)(rng));
	}

	int drawn(double per_s, int64_t ms)
	{
		double mean = per_s * (double)worker_count / SITE_490 *
			      (double)ms / 1000;

		return std::poisson_distribution<>(mean)(rng);
	}

	void arrive(int64_t ms)
	{
		int n;

		for (n = drawn(14.7, ms); n > 0; n--)
			submit_urgent();
		for (n = drawn(26.2, ms); n > 0; n--)
			submit_batch();
		for (n = drawn(0.9, ms); n > 0; n--) {
			submit_serving();
			cancel(serving.front());
			serving.pop_front();
		}
	}

	job_step step_of(uint32_t tasks, uint32_t cpu, uint32_t memory_mb,
			 uint32_t run_ms, uint32_t flags,
			 const std::string &image)
	{
		job_step st = task_step(tasks, cpu);

		st.memory_mb = memory_mb;
		st.estimate_ms = run_ms;
		st.flags = flags;
		name_set(st.image, image.c_str());
		return st;
	}

	void submit_urgent()
	{
		std::vector<job_step> steps;
		uint32_t n = rng() % 10 < 6 ? 2 : 1;

		for (uint32_t i = 0; i < n; i++) {
			steps.push_back(step_of(10, vary(5100), 2000, 800, 0,
						"urgent"));
			steps.back().after = i ? 1 : 0;
		}
		submit(++last_id, steps, 4, 0, 300, 1500);
	}

	void submit_batch()
	{
		std::vector<job_step> steps;

		for (uint32_t i = 0; i < 2; i++) {
			steps.push_back(
				step_of(20, vary(3500), 1000, 1700,
					STEP_BEST_EFFORT | STEP_CHECKPOINTS,
					"batch" + std::to_string(rng() % 30)));
			steps.back().after = i ? 1 : 0;
		}
		submit(++last_id, steps, 4, 2, 1000, 2000);
	}

	void submit_serving()
	{
		job_step st =
			step_of(14, vary(6400), 2000, 0, STEP_LONG_RUNNING,
				"serve" + std::to_string(rng() % 16));

		st.target_ms = 50;
		submit(++last_id, {st}, 4, 0, 2500, 2200);
		serving.push_back(last_id);
	}

	worker_ops worker_calls;
	worker_ops direct_calls;
	std::map<uint64_t, Host> hosts;
	std::deque<Message> to_hosts;
	std::deque<Answer> inbox;
	std::unordered_map<std::string, std::vector<Call>> held;
	std::priority_queue<DueEnd> waits;
	std::priority_queue<DueEnd> ends;
	std::deque<uint64_t> serving;
	std::mt19937 rng;
	uint64_t last_id = 1000;
	buf batch = {};
	int64_t batch_due_ms = 0;
	int64_t next_batch_ms = 0;
	double work_us = 0;
	double timed_from = 0;
	int64_t round_began_ms = 0;
	bool is_ending = false;
};

#endif
