#include <gtest/gtest.h>

#include "adapters/clock.h"
#include "adapters/http_client.h"
#include "adapters/http_server.h"
#include "adapters/log_http.h"
#include "adapters/peer_net.h"
#include "tests/scripted_server.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

/* Bound on each wait: the users' limit for a configuration change. */
#define WAIT_MS 11000

struct inbox {
	uint32_t received;
	uint64_t last_job;
};

static void on_message(void *ctx, const struct msg *m)
{
	struct inbox *in = (struct inbox *)ctx;

	__atomic_store_n(&in->last_job, m->job, __ATOMIC_RELEASE);
	__atomic_add_fetch(&in->received, 1, __ATOMIC_RELEASE);
}

static bool has(const struct inbox *in, uint32_t count)
{
	return __atomic_load_n(&in->received, __ATOMIC_ACQUIRE) >= count;
}

static bool wait_for(const struct inbox *in, uint32_t count)
{
	int64_t end = clock_mono_ms() + WAIT_MS;

	while (!has(in, count)) {
		if (clock_mono_ms() > end)
			return false;
		usleep(1000);
	}
	return true;
}

/* Forwards connections to a port; takes the bytes of those that are silenced
 * and forwards nothing of them, nor their end. */
class SilentProxy
{
      public:
	explicit SilentProxy(uint16_t to_port) : to(to_port)
	{
		sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		listen_fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listen_fd, (sockaddr *)&sin, len);
		listen(listen_fd, 8);
		getsockname(listen_fd, (sockaddr *)&sin, &len);
		port = ntohs(sin.sin_port);
		thread = std::thread([this] { run(); });
	}

	~SilentProxy()
	{
		stopping = true;
		thread.join();
		for (auto &p : pairs) {
			close(p.fds[0]);
			close(p.fds[1]);
		}
		close(listen_fd);
	}

	void silence()
	{
		silent = connections.load();
	}

	uint16_t port;
	std::atomic<int> connections{0};

      private:
	struct Pair {
		int fds[2];
		bool ended[2];
	};

	void accept_one()
	{
		sockaddr_in sin = {};
		int fd = accept(listen_fd, nullptr, nullptr);
		int other = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons(to);
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		connect(other, (sockaddr *)&sin, sizeof(sin));
		pairs.push_back({{fd, other}, {false, false}});
		connections++;
	}

	void pass(size_t i, int side)
	{
		char data[4096];
		ssize_t n = read(pairs[i].fds[side], data, sizeof(data));

		if (n <= 0)
			pairs[i].ended[side] = true;
		else if ((int)i >= silent)
			send(pairs[i].fds[!side], data, (size_t)n,
			     MSG_NOSIGNAL);
	}

	void run()
	{
		while (!stopping) {
			std::vector<pollfd> fds = {{listen_fd, POLLIN, 0}};

			for (auto &p : pairs)
				for (int side = 0; side < 2; side++)
					fds.push_back({p.ended[side]
							       ? -1
							       : p.fds[side],
						       POLLIN, 0});
			if (poll(fds.data(), fds.size(), 10) <= 0)
				continue;
			for (size_t i = 1; i < fds.size(); i++)
				if (fds[i].revents)
					pass((i - 1) / 2, (int)((i - 1) % 2));
			if (fds[0].revents)
				accept_one();
		}
	}

	uint16_t to;
	int listen_fd;
	std::atomic<int> silent{0};
	std::atomic<bool> stopping{false};
	std::vector<Pair> pairs;
	std::thread thread;
};

class PeerNet : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		struct peer_sink sa = {on_message, &in_a},
				 sb = {on_message, &in_b};

		ASSERT_EQ(peer_net_start(&a, "a", "127.0.0.1", 0, &sa), 0);
		ASSERT_EQ(peer_net_start(&b, "b", "127.0.0.1", 0, &sb), 0);
	}
	void TearDown() override
	{
		peer_net_stop(&a);
		peer_net_stop(&b);
	}
	void set_address_of_b()
	{
		struct listed_host h = {};

		h.id = name_hash("b");
		snprintf(h.addr, sizeof(h.addr), "127.0.0.1:%u", b.port);
		peer_net_set_hosts(&a, &h, 1);
	}
	int connect_raw()
	{
		struct sockaddr_in sin = {};
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		sin.sin_family = AF_INET;
		sin.sin_port = htons(b.port);
		inet_pton(AF_INET, "127.0.0.1", &sin.sin_addr);
		EXPECT_EQ(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
		return fd;
	}

	struct inbox in_a = {}, in_b = {};
	struct peer_net a, b;
};

TEST_F(PeerNet, CarriesMessagesBothWaysOnOneConnection)
{
	struct msg m = {};

	set_address_of_b();
	m.kind = MSG_SUBMIT;
	m.job = 11;
	peer_net_send(&a, name_hash("b"), &m);
	ASSERT_TRUE(wait_for(&in_b, 1));
	EXPECT_EQ(in_b.last_job, 11u);
	/* b has no address of a: it uses the connection that a opened. */
	m.kind = MSG_ANSWER;
	m.job = 12;
	peer_net_send(&b, name_hash("a"), &m);
	ASSERT_TRUE(wait_for(&in_a, 1));
	EXPECT_EQ(in_a.last_job, 12u);
}

/*
 * A connection that has gone silent stays open at both ends. Once its host has
 * given it up, messages both ways go by the new one.
 */
TEST_F(PeerNet, ReplacesAConnectionThatHasGoneSilent)
{
	SilentProxy proxy(b.port);
	struct listed_host h = {};
	struct msg m = {};

	h.id = name_hash("b");
	snprintf(h.addr, sizeof(h.addr), "127.0.0.1:%u", proxy.port);
	peer_net_set_hosts(&a, &h, 1);
	m.kind = MSG_SUBMIT;
	m.job = 21;
	peer_net_send(&a, name_hash("b"), &m);
	ASSERT_TRUE(wait_for(&in_b, 1));
	proxy.silence();
	m.job = 22;
	peer_net_send(&a, name_hash("b"), &m);
	peer_net_disconnect(&a, name_hash("b"));
	/* The network thread frees it, and connections are tried each 500 ms.
	 */
	m.job = 23;
	for (int i = 0; i < 400 && !has(&in_b, 2); i++) {
		peer_net_send(&a, name_hash("b"), &m);
		usleep(10000);
	}
	ASSERT_TRUE(wait_for(&in_b, 2));
	EXPECT_EQ(__atomic_load_n(&in_b.last_job, __ATOMIC_ACQUIRE), 23u);
	EXPECT_EQ(proxy.connections, 2);
	m.job = 24;
	peer_net_send(&b, name_hash("a"), &m);
	ASSERT_TRUE(wait_for(&in_a, 1));
	EXPECT_EQ(in_a.last_job, 24u);
}

TEST_F(PeerNet, MessageToAnUnknownHostIsDropped)
{
	struct msg m = {};

	m.kind = MSG_SUBMIT;
	peer_net_send(&a, 12345, &m);
	set_address_of_b();
	peer_net_send(&a, name_hash("b"), &m);
	EXPECT_TRUE(wait_for(&in_b, 1));
}

TEST_F(PeerNet, ClosesOnOversizedOrForeignFrames)
{
	static const char oversized[] = "\x7f\xff\xff\xff";
	static const char foreign[] = "\0\0\0\3GET";
	char byte;
	int fd;

	for (const char *text : {oversized, foreign}) {
		size_t len = text == oversized ? 4 : 7;
		ssize_t n;

		fd = connect_raw();
		ASSERT_EQ(write(fd, text, len), (ssize_t)len);
		do
			n = read(fd, &byte, 1); /* a hello, then the end */
		while (n > 0);
		close(fd);
	}
	EXPECT_EQ(in_b.received, 0u);
}

static void echo(void *ctx, struct http_request *r)
{
	(void)ctx;
	if (r->too_large)
		http_reply(r, 413, 0, "", 0);
	else
		http_reply(r, 200, 0, r->body.data ? r->body.data : "-",
			   r->body.data ? r->body.len : 1);
}

TEST(HttpServer, AnswersAndCapsTheBody)
{
	struct http_server s = {};
	std::string big(5000, 'x');
	struct buf out;
	char url[64];

	curl_global_init(CURL_GLOBAL_DEFAULT);
	s.handle = echo;
	ASSERT_EQ(http_server_start(&s, "127.0.0.1", 0, 1000), 0);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/x", s.port);
	buf_init(&out);
	EXPECT_EQ(http_fetch("POST", url, "hello", WAIT_MS, &out), 200);
	EXPECT_STREQ(out.data, "hello");
	EXPECT_EQ(http_fetch("POST", url, big.c_str(), WAIT_MS, &out), 413);
	buf_finish(&out);
	http_server_stop(&s);
	curl_global_cleanup();
}

static int connect_to(uint16_t port)
{
	struct sockaddr_in to = {};
	struct timeval limit = {WAIT_MS / 1000, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	to.sin_family = AF_INET;
	to.sin_port = htons(port);
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	EXPECT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static int send_on(int fd, const std::string &text)
{
	EXPECT_EQ(write(fd, text.data(), text.size()), (ssize_t)text.size());
	return fd;
}

static std::string read_end(int fd)
{
	std::string text;
	char part[1000];
	ssize_t n;

	while ((n = read(fd, part, sizeof(part))) > 0)
		text.append(part, (size_t)n);
	EXPECT_TRUE(!n || errno == ECONNRESET) << "still open";
	close(fd);
	return text;
}

/* A caller that asks first would send a body that is refused, if it got
 * 100 Continue. */
TEST(HttpServer, RefusesBodiesOverTheLimitInForceAtTheHeader)
{
	const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
	struct http_server s = {};
	struct http_counts n;
	std::string reply;

	s.handle = echo;
	ASSERT_EQ(http_server_start(&s, "127.0.0.1", 0, 1000), 0);
	http_server_set_body_max(&s, 4);
	reply = read_end(send_on(connect_to(s.port),
				 head + "Expect: 100-continue\r\n"
					"Content-Length: 5\r\n\r\n"));
	EXPECT_EQ(reply.find("HTTP/1.1 413"), 0u) << reply;
	reply = read_end(send_on(connect_to(s.port),
				 head + "Transfer-Encoding: chunked\r\n"
					"Connection: close\r\n\r\n"
					"5\r\nabcde\r\n0\r\n\r\n"));
	EXPECT_EQ(reply.find("HTTP/1.1 413"), 0u) << reply;
	reply = read_end(send_on(connect_to(s.port),
				 head + "Transfer-Encoding: chunked\r\n"
					"Connection: close\r\n\r\n"
					"4\r\nabcd\r\n0\r\n\r\n"));
	EXPECT_EQ(reply.find("HTTP/1.1 200"), 0u) << reply;
	http_server_get_counts(&s, &n);
	EXPECT_EQ(n.too_large, 2u);
	EXPECT_EQ(n.body_bytes, 0u);
	http_server_stop(&s);
}

/* Stalled uploads held their memory for 30 s, and new callers found no room. */
TEST(HttpServer, MakesRoomForANewCaller)
{
	const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n"
				 "Connection: close\r\n"
				 "Content-Length: 1000\r\n\r\n";
	const std::string body(1000, 'x');
	struct http_server s = {};
	struct http_counts n = {};
	std::string reply;
	int stalled[4], i;

	s.handle = echo;
	s.threads = 2;
	s.stall_s = 2;
	s.bodies_max = 2500;
	s.connections_max = 4;
	ASSERT_EQ(http_server_start(&s, "127.0.0.1", 0, 1000), 0);
	for (i = 0; i < 2; i++) {
		stalled[i] = connect_to(s.port);
		send_on(stalled[i], head + body.substr(1));
	}
	for (i = 0; i < 1000 && n.body_bytes < 2002; i++, usleep(1000))
		http_server_get_counts(&s, &n);
	reply = read_end(send_on(connect_to(s.port), head + body));
	EXPECT_EQ(reply.find("HTTP/1.1 503"), 0u) << reply;
	EXPECT_NE(reply.find("Retry-After: 1\r\n"), std::string::npos);
	usleep(REQUEST_QUIET_MS * 1000);
	reply = read_end(send_on(connect_to(s.port), head + body));
	EXPECT_EQ(reply.find("HTTP/1.1 200"), 0u) << reply;
	for (i = 2; i < 4; i++)
		stalled[i] = connect_to(s.port);
	reply = read_end(send_on(connect_to(s.port), head + body));
	EXPECT_EQ(reply.find("HTTP/1.1 200"), 0u) << reply;
	stalled[2] = send_on(stalled[2], head + "x");
	for (i = 0; i < 3; i++)
		EXPECT_EQ(read_end(stalled[i]), "");
	http_server_get_counts(&s, &n);
	EXPECT_EQ(n.uploads_refused, 1u);
	EXPECT_EQ(n.uploads_closed, 1u);
	EXPECT_GE(n.uploads_stalled, 1u);
	EXPECT_EQ(n.body_bytes, 0u);
	close(stalled[3]);
	http_server_stop(&s);
}

/* A caller whose connection is closed while its job is stored would not learn
 * that the job was accepted. */
TEST(HttpServer, ClosesNoConnectionWhoseRequestIsHandled)
{
	static std::atomic<http_request *> waiting;
	const std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n"
				 "Connection: close\r\n\r\n";
	struct http_server s = {};
	struct http_counts n;
	std::string reply;
	int handled, i;

	waiting = nullptr;
	s.handle = [](void *, http_request *r) { waiting = r; };
	s.threads = 1;
	s.connections_max = 1;
	ASSERT_EQ(http_server_start(&s, "127.0.0.1", 0, 1000), 0);
	handled = send_on(connect_to(s.port), head);
	for (i = 0; i < WAIT_MS && !waiting; i++)
		usleep(1000);
	for (i = 0; i < 20; i++)
		EXPECT_EQ(read_end(connect_to(s.port)), "");
	http_reply(waiting, 200, 0, "x", 1);
	reply = read_end(handled);
	EXPECT_EQ(reply.find("HTTP/1.1 200"), 0u) << reply;
	http_server_get_counts(&s, &n);
	EXPECT_EQ(n.connections_closed, 20u);
	http_server_stop(&s);
}

TEST(LogHttp, ParsesAReadAndRejectsMalformedReplies)
{
	struct log_read r;
	struct arena a;
	struct buf b;

	arena_init(&a);
	buf_init(&b);
	buf_adds(&b, "{\"first\":3,\"head\":5}\n3 {\"a\":1}\n4 x y\n");
	ASSERT_EQ(log_read_parse(&b, &r, &a), 0);
	EXPECT_EQ(r.first, 3u);
	EXPECT_EQ(r.head, 5u);
	ASSERT_EQ(r.count, 2u);
	EXPECT_EQ(r.entries[1].offset, 4u);
	EXPECT_TRUE(str_eq(r.entries[1].body, str_of("x y")));
	buf_clear(&b);
	buf_adds(&b, "{\"first\":3}\n");
	EXPECT_NE(log_read_parse(&b, &r, &a), 0);
	buf_clear(&b);
	buf_adds(&b, "{\"head\":5,\"first\":0}\nfour x\n");
	EXPECT_NE(log_read_parse(&b, &r, &a), 0);
	buf_finish(&b);
	arena_finish(&a);
}

static void on_appended(void *ctx, uint64_t token, enum log_status status,
			uint64_t offset)
{
	int *outcome = (int *)ctx;

	(void)token;
	(void)offset;
	__atomic_store_n(outcome, status, __ATOMIC_RELEASE);
}

static struct log_sink appends_to(int *outcome)
{
	struct log_sink sink = {};

	sink.append = on_appended;
	sink.hosts = [](void *, const struct listed_host *, size_t) {};
	sink.hosts_unchanged = [](void *) {};
	sink.ctx = outcome;
	return sink;
}

static int append_and_wait(struct log_http *l, int *outcome)
{
	int64_t end = clock_mono_ms() + WAIT_MS;

	__atomic_store_n(outcome, -1, __ATOMIC_RELEASE);
	log_http_append(l, 1, "jobs", str_of("line"));
	while (__atomic_load_n(outcome, __ATOMIC_ACQUIRE) < 0 &&
	       clock_mono_ms() < end)
		usleep(1000);
	return __atomic_load_n(outcome, __ATOMIC_ACQUIRE);
}

/*
 * Against rejected requests that ran: an append was carried out and its reply
 * lost, a second one that curl sent by itself was refused, and the caller was
 * told that its request had not been taken.
 */
TEST(LogHttp, AnAppendThatLosesItsReplyIsNotRefused)
{
	ScriptedServer s({200, ScriptedServer::RESET, 503}, "{\"offset\":1}",
			 "POST");
	std::string url = "http://" + s.address;
	int outcome;
	struct log_sink sink = appends_to(&outcome);
	struct log_http l;

	ASSERT_EQ(log_http_start(&l, url.c_str(), "a@zone-1", &sink), 0);
	EXPECT_EQ(append_and_wait(&l, &outcome), LOG_OK);
	EXPECT_EQ(append_and_wait(&l, &outcome), LOG_NO_REPLY);
	EXPECT_EQ(append_and_wait(&l, &outcome), LOG_REFUSED);
	EXPECT_EQ(s.requests, 3);
	log_http_stop(&l);
}

/* Against memory that is not freed: calls that were in flight at the stop. The
 * address sanitizer tells. */
TEST(LogHttp, FreesTheCallsInFlightWhenItStops)
{
	ScriptedServer s({ScriptedServer::HANG}, "[]", "POST");
	std::string url = "http://" + s.address;
	int64_t end = clock_mono_ms() + WAIT_MS;
	int outcome = -1;
	struct log_sink sink = appends_to(&outcome);
	struct log_http l;

	ASSERT_EQ(log_http_start(&l, url.c_str(), "a@zone-1", &sink), 0);
	log_http_append(&l, 1, "jobs", str_of("line"));
	while (!s.requests && clock_mono_ms() < end)
		usleep(1000);
	EXPECT_EQ(s.requests, 1);
	log_http_stop(&l);
	EXPECT_EQ(outcome, -1);
}
