#ifndef TESTS_FAKE_STORE_H
#define TESTS_FAKE_STORE_H

#include <algorithm>
#include <cctype>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ports/cluster.h"

/* In-memory store of the platform. Each reply stays pending until run()
 * delivers it. A listing leaves out records whose keys hold control characters,
 * as the adapter does. */
class FakeStore
{
      public:
	/* LOSE_REPLIES applies writes, UNAVAILABLE does not; with both, calls
	 * end with STORE_UNKNOWN. With UNREACHABLE they are not sent. */
	enum Mode { SERVE, REFUSE, LOSE_REPLIES, UNAVAILABLE, UNREACHABLE };

	struct Record {
		std::string key;
		std::string value;
		uint64_t offset = 0; /* in a listing */
	};

	FakeStore()
	{
		ops.append = [](void *p, const store_append *a, store_done d,
				void *ctx) {
			((FakeStore *)p)->append(a, d, ctx);
		};
		ops.read = [](void *p, const char *topic, uint32_t,
			      uint64_t from, uint32_t, store_done d,
			      void *ctx) {
			((FakeStore *)p)->read(topic, from, d, ctx);
		};
		ops.read_newest = [](void *p, const char *topic, uint32_t,
				     str after, store_done d, void *ctx) {
			((FakeStore *)p)->newest(topic, after, d, ctx);
		};
		ops.join = [](void *p, const char *member, uint64_t,
			      store_done d, void *ctx) {
			((FakeStore *)p)->join(member, d, ctx);
		};
		ops.leave = [](void *p, const char *member, store_done d,
			       void *ctx) {
			FakeStore *s = (FakeStore *)p;
			if (s->assignee == member)
				s->assignee = "";
			store_reply r = {};
			s->reply(r, d, ctx);
		};
	}

	/* Delivers pending replies, and those to calls made meanwhile. */
	void run()
	{
		for (int i = 0; i < 100 && !pending.empty(); i++) {
			auto out = pending;
			pending.clear();
			for (auto &f : out)
				f();
		}
	}

	void put(const std::string &topic, const std::string &key,
		 const std::string &value)
	{
		topics[topic].push_back({key, value});
	}

	store_ops ops;
	Mode mode = SERVE;
	int64_t now = 0;
	uint64_t generation = 1;
	std::string assignee;        /* the only member with cells, or empty */
	uint64_t assigned_cells = 1; /* cells of the assignee, as a bit set */
	uint64_t epoch = 0;
	uint64_t seq = 0;
	uint64_t trimmed = 0; /* first offset that can be read */
	size_t page = 500;
	size_t pages = 0;           /* of listings */
	size_t read_max = SIZE_MAX; /* records in the reply to a read */
	size_t calls = 0;
	/* Limits of an append and of a record, bytes; a larger one is refused.
	 */
	size_t append_max = SIZE_MAX;
	size_t record_max = SIZE_MAX;
	/* A repeat gets its first answer also once the epoch is another's. */
	bool repeats_before_epoch = false;
	std::map<std::string, std::vector<Record>> topics;
	std::vector<std::function<void()>> pending;

      private:
	/* Of the last append before the present epoch began. */
	uint64_t former_epoch = 0;
	uint64_t former_seq = 0;

	void reply(store_reply r, store_done d, void *ctx,
		   std::vector<Record> rows = {}, uint64_t from = 0,
		   bool is_list = false, const std::string &last_key = "")
	{
		Mode m = mode;

		calls++;
		r.sent_ms = now;
		pending.push_back([=]() {
			std::vector<store_record> out;
			store_reply copy = r;

			copy.received_ms = now;
			copy.not_sent = m == UNREACHABLE;
			if (m == REFUSE || m == UNREACHABLE)
				copy.status = STORE_REFUSED;
			else if (m != SERVE)
				copy.status = STORE_UNKNOWN;
			for (size_t i = 0; i < rows.size(); i++) {
				store_record s;
				s.key = {rows[i].key.data(),
					 rows[i].key.size()};
				s.value = {rows[i].value.data(),
					   rows[i].value.size()};
				s.offset = is_list ? rows[i].offset : from + i;
				out.push_back(s);
			}
			copy.records = out.data();
			copy.count = out.size();
			copy.last_key = {last_key.data(), last_key.size()};
			d(ctx, &copy);
		});
	}

	bool accepts_writes() const
	{
		return mode == SERVE || mode == LOSE_REPLIES;
	}

	void append(const store_append *a, store_done d, void *ctx)
	{
		std::vector<Record> &t = topics[a->topic];
		store_reply r = {};

		if (!is_within_limits(a->records)) {
			r.status = STORE_REFUSED;
			reply(r, d, ctx);
			return;
		}
		if (accepts_writes() && a->producer && a->producer[0]) {
			if (a->epoch < epoch && is_repeat(a)) {
				r.end = t.size();
				reply(r, d, ctx);
				return;
			}
			if (a->epoch < epoch) {
				r.status = STORE_FENCED;
				reply(r, d, ctx);
				return;
			}
			if (a->epoch > epoch) {
				former_epoch = epoch;
				former_seq = seq;
				epoch = a->epoch;
				seq = a->seq;
			} else if (a->seq == seq && a->records.len) {
				r.end = t.size(); /* a resent batch */
				reply(r, d, ctx);
				return;
			} else if (a->seq != seq + 1) {
				r.status = STORE_BAD_SEQ;
				r.seq = seq + 1;
				reply(r, d, ctx);
				return;
			}
			seq = a->seq;
		}
		r.first = t.size();
		if (accepts_writes())
			add(t, a->records);
		r.end = t.size();
		reply(r, d, ctx);
	}

	bool is_repeat(const store_append *a) const
	{
		return repeats_before_epoch && a->records.len &&
		       a->epoch == former_epoch && a->seq == former_seq;
	}

	bool is_within_limits(str records) const
	{
		str rest = records;
		store_record x;

		while (!store_record_take(&rest, &x))
			if (1 + x.key.len + x.value.len > record_max)
				return false;
		return records.len <= append_max;
	}

	static void add(std::vector<Record> &t, str b)
	{
		for (size_t at = 0; at < b.len;) {
			const unsigned char *p =
				(const unsigned char *)b.data + at;
			size_t len = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
				     (size_t)p[2] << 8 | p[3];
			std::string key((const char *)p + 5, p[4]);

			t.push_back(
				{key, std::string((const char *)p + 5 + p[4],
						  len - 1 - p[4])});
			at += 4 + len;
		}
	}

	void read(const std::string &topic, uint64_t from, store_done d,
		  void *ctx)
	{
		std::vector<Record> &t = topics[topic];
		store_reply r = {};

		r.end = t.size();
		r.first = trimmed;
		if (from < trimmed) {
			r.status = STORE_TRIMMED;
			reply(r, d, ctx);
			return;
		}
		std::vector<Record> rows(t.begin() + (long)from, t.end());
		if (rows.size() > read_max)
			rows.resize(read_max);
		reply(r, d, ctx, rows, from);
	}

	void newest(const std::string &topic, str after, store_done d,
		    void *ctx)
	{
		std::map<std::string, Record> last;
		std::vector<Record> rows;
		std::string start(after.data ? after.data : "", after.len);
		store_reply r = {};
		uint64_t at = 0;

		for (auto &x : topics[topic]) {
			last[x.key] = x;
			last[x.key].offset = at++;
		}
		for (auto &x : last)
			if (x.first > start && !x.second.value.empty())
				rows.push_back(x.second);
		pages++;
		r.end = topics[topic].size();
		r.has_more = rows.size() > page;
		if (r.has_more)
			rows.resize(page);
		std::string last_key = rows.empty() ? "" : rows.back().key;
		rows.erase(std::remove_if(rows.begin(), rows.end(),
					  has_control_character),
			   rows.end());
		reply(r, d, ctx, rows, 0, true, last_key);
	}

	static bool has_control_character(const Record &r)
	{
		return std::any_of(r.key.begin(), r.key.end(),
				   [](unsigned char c) { return iscntrl(c); });
	}

	void join(const std::string &member, store_done d, void *ctx)
	{
		store_reply r = {};

		if (accepts_writes() && assignee.empty()) {
			assignee = member;
			generation++;
		}
		r.generation = generation;
		r.assigned = assignee == member ? assigned_cells : 0;
		reply(r, d, ctx);
	}
};

#endif
