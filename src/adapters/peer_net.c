#include "adapters/peer_net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/address.h"
#include "adapters/clock.h"
#include "base/counter.h"
#include "base/logger.h"

#define HEADER_BYTES 4
#define READ_BYTES 65536
#define EVENTS_MAX 64

struct peer_addr {
	uint64_t host;
	struct sockaddr_in sin;
	int64_t retry_ms;
};

struct peer_conn {
	int fd;
	uint64_t host;
	bool hello_received;
	bool connecting;
	uint32_t epoll_events;
	struct buf in;
	struct buf out;
};

static void wake_thread(struct peer_net *n)
{
	uint64_t one = 1;

	if (write(n->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		log_line(LOG_ERROR, "cannot wake the network thread",
			 "errno=%d", errno);
}

static void epoll_update(struct peer_net *n, struct peer_conn *c, int op)
{
	struct epoll_event ev = {0};

	ev.events = EPOLLIN;
	if (c->connecting || c->out.len)
		ev.events |= EPOLLOUT;
	if (ev.events == c->epoll_events)
		return;
	c->epoll_events = ev.events;
	ev.data.fd = c->fd;
	epoll_ctl(n->epoll_fd, op, c->fd, &ev);
}

static void queue_frame(struct peer_conn *c, const struct msg *m)
{
	size_t at = c->out.len;
	uint32_t len;

	buf_add(&c->out, "\0\0\0\0", HEADER_BYTES);
	msg_pack(m, &c->out);
	len = htonl((uint32_t)(c->out.len - at - HEADER_BYTES));
	memcpy(c->out.data + at, &len, sizeof(len));
	counter_add(COUNTER_FRAMES_OUT, 1);
	counter_add(COUNTER_BYTES_OUT, c->out.len - at);
}

static struct peer_conn *add_conn(struct peer_net *n, int fd, uint64_t host,
				  bool connecting)
{
	struct peer_conn *c = xcalloc(1, sizeof(*c));
	struct msg hello = {0};
	int one = 1, unacked_ms = PEER_USER_TIMEOUT_MS;

	if ((size_t)fd >= n->conn_cap) {
		size_t cap = (size_t)fd * 2 + 16;

		n->conns = xrealloc(n->conns, cap * sizeof(*n->conns));
		memset(n->conns + n->conn_cap, 0,
		       (cap - n->conn_cap) * sizeof(*n->conns));
		n->conn_cap = cap;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
		   sizeof(unacked_ms));
	c->fd = fd;
	c->host = host;
	c->connecting = connecting;
	n->conns[fd] = c;
	if (host)
		index_put(&n->by_host, host, c);
	hello.kind = MSG_HELLO;
	hello.from = n->host_id;
	hello.corr = MSG_VERSION;
	name_set(hello.name, n->name);
	queue_frame(c, &hello);
	epoll_update(n, c, EPOLL_CTL_ADD);
	return c;
}

static void close_conn(struct peer_net *n, struct peer_conn *c)
{
	if (c->host && index_get(&n->by_host, c->host) == c)
		index_remove(&n->by_host, c->host);
	n->conns[c->fd] = NULL;
	close(c->fd);
	buf_finish(&c->in);
	buf_finish(&c->out);
	free(c);
}

static struct peer_conn *connect_host(struct peer_net *n, uint64_t host)
{
	struct peer_addr *a = index_get(&n->addrs, host);
	int64_t now = clock_mono_ms();
	int fd;

	if (!a || now < a->retry_ms)
		return NULL;
	a->retry_ms = now + PEER_CONNECT_RETRY_MS;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	if (connect(fd, (struct sockaddr *)&a->sin, sizeof(a->sin)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	return add_conn(n, fd, host, true);
}

/* The network thread reads the end of the stream and frees the connection. */
void peer_net_disconnect(struct peer_net *n, uint64_t host)
{
	struct peer_conn *c;

	lock_take(&n->lock);
	c = index_get(&n->by_host, host);
	if (c)
		shutdown(c->fd, SHUT_RDWR);
	lock_give(&n->lock);
}

void peer_net_set_hosts(struct peer_net *n, const struct listed_host *hosts,
			size_t count)
{
	struct sockaddr_in sin;
	struct peer_addr *a;
	size_t i;

	lock_take(&n->lock);
	for (i = 0; i < count; i++) {
		if (hosts[i].id == n->host_id ||
		    address_parse(hosts[i].addr, &sin))
			continue;
		a = index_get(&n->addrs, hosts[i].id);
		if (!a) {
			a = xcalloc(1, sizeof(*a));
			a->host = hosts[i].id;
			index_put(&n->addrs, a->host, a);
			n->addr_list = xrealloc(n->addr_list,
						(n->addr_count + 1) *
							sizeof(*n->addr_list));
			n->addr_list[n->addr_count++] = a;
		}
		a->sin = sin;
	}
	lock_give(&n->lock);
}

/*
 * Removes one complete frame from the input buffer. Returns 1, 0 if the buffer
 * holds no complete frame, or a negative error number.
 */
static int next_frame(struct peer_conn *c, struct msg *m, struct arena *a)
{
	uint32_t len;
	int err;

	if (c->in.len < HEADER_BYTES)
		return 0;
	memcpy(&len, c->in.data, sizeof(len));
	len = ntohl(len);
	if (len > PEER_FRAME_MAX)
		return -EMSGSIZE;
	if (c->in.len < HEADER_BYTES + (size_t)len)
		return 0;
	err = msg_unpack(c->in.data + HEADER_BYTES, len, m, a);
	buf_drop(&c->in, HEADER_BYTES + (size_t)len);
	counter_add(COUNTER_FRAMES_IN, 1);
	counter_add(COUNTER_BYTES_IN, HEADER_BYTES + (size_t)len);
	return err ? err : 1;
}

static int handle_hello(struct peer_net *n, struct peer_conn *c,
			const struct msg *m)
{
	if (m->kind != MSG_HELLO || m->corr != MSG_VERSION || !m->from)
		return -EPROTO;
	c->hello_received = true;
	if (!c->host) {
		c->host = m->from;
		index_put(&n->by_host, c->host, c);
	}
	return 0;
}

/* Runs on the network thread; calls the sink without holding the lock. */
static int read_conn(struct peer_net *n, struct peer_conn *c)
{
	char data[READ_BYTES];
	ssize_t got = read(c->fd, data, sizeof(data));
	int more;

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (got <= 0)
		return got ? -errno : -EPIPE;
	buf_add(&c->in, data, (size_t)got);
	do {
		struct arena a;
		struct msg m;
		int err = 0;

		arena_init(&a);
		more = next_frame(c, &m, &a);
		if (more > 0 && !c->hello_received) {
			lock_take(&n->lock);
			err = handle_hello(n, c, &m);
			lock_give(&n->lock);
		} else if (more > 0) {
			m.from = c->host;
			n->sink.message(n->sink.ctx, &m);
		}
		arena_finish(&a);
		if (err)
			return err;
	} while (more > 0);
	buf_shrink(&c->in, READ_BYTES);
	return more;
}

static int write_conn(struct peer_net *n, struct peer_conn *c)
{
	ssize_t done;

	if (c->connecting) {
		int err = 0;
		socklen_t len = sizeof(err);

		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &len);
		if (err)
			return -err;
		c->connecting = false;
	}
	done = send(c->fd, c->out.data, c->out.len, MSG_NOSIGNAL);
	if (done < 0 && errno != EAGAIN && errno != EINTR)
		return -errno;
	if (done > 0)
		buf_drop(&c->out, (size_t)done);
	buf_shrink(&c->out, READ_BYTES);
	epoll_update(n, c, EPOLL_CTL_MOD);
	return 0;
}

void peer_net_send(struct peer_net *n, uint64_t to, const struct msg *m)
{
	struct peer_conn *c;
	bool was_empty;

	lock_take(&n->lock);
	c = index_get(&n->by_host, to);
	if (!c)
		c = connect_host(n, to);
	if (c && c->out.len < PEER_QUEUE_MAX) {
		was_empty = !c->out.len;
		queue_frame(c, m);
		/*
		 * The message is sent from this thread; the network thread
		 * wakes up only for bytes that the socket does not accept.
		 */
		if (was_empty && !c->connecting && write_conn(n, c))
			shutdown(c->fd, SHUT_RDWR);
	}
	lock_give(&n->lock);
}

static void accept_conns(struct peer_net *n)
{
	int fd;

	for (;;) {
		fd = accept4(n->listen_fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		lock_take(&n->lock);
		add_conn(n, fd, 0, false);
		lock_give(&n->lock);
	}
}

static void handle_event(struct peer_net *n, const struct epoll_event *ev)
{
	int fd = ev->data.fd, err = 0;
	struct peer_conn *c;

	if (fd == n->wake_fd)
		return;
	if (fd == n->listen_fd) {
		accept_conns(n);
		return;
	}
	lock_take(&n->lock);
	c = (size_t)fd < n->conn_cap ? n->conns[fd] : NULL;
	if (c && (ev->events & (EPOLLOUT | EPOLLERR | EPOLLHUP)))
		err = write_conn(n, c);
	lock_give(&n->lock);
	if (!c)
		return;
	if (!err && (ev->events & EPOLLIN))
		err = read_conn(n, c);
	if (!err)
		return;
	lock_take(&n->lock);
	close_conn(n, c);
	lock_give(&n->lock);
}

static void *net_main(void *arg)
{
	struct epoll_event events[EVENTS_MAX];
	struct peer_net *n = arg;
	int i, count;

	while (!__atomic_load_n(&n->stopping, __ATOMIC_ACQUIRE)) {
		count = epoll_wait(n->epoll_fd, events, EVENTS_MAX, -1);
		for (i = 0; i < count; i++)
			handle_event(n, &events[i]);
	}
	return NULL;
}

static int open_listener(struct peer_net *n, const char *ip, uint16_t port)
{
	struct sockaddr_in sin = {0};
	socklen_t len = sizeof(sin);
	int one = 1;

	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return -EINVAL;
	n->listen_fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (n->listen_fd < 0)
		return -errno;
	setsockopt(n->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(n->listen_fd, (struct sockaddr *)&sin, sizeof(sin)) ||
	    listen(n->listen_fd, SOMAXCONN) ||
	    getsockname(n->listen_fd, (struct sockaddr *)&sin, &len)) {
		int err = -errno;

		close(n->listen_fd);
		return err;
	}
	n->port = ntohs(sin.sin_port);
	return 0;
}

static void epoll_add(struct peer_net *n, int fd)
{
	struct epoll_event ev = {0};

	ev.events = EPOLLIN;
	ev.data.fd = fd;
	epoll_ctl(n->epoll_fd, EPOLL_CTL_ADD, fd, &ev);
}

int peer_net_start(struct peer_net *n, const char *name, const char *ip,
		   uint16_t port, const struct peer_sink *sink)
{
	int err;

	memset(n, 0, sizeof(*n));
	lock_init(&n->lock);
	n->host_id = name_hash(name);
	name_set(n->name, name);
	n->sink = *sink;
	err = open_listener(n, ip, port);
	if (err)
		return err;
	index_init(&n->by_host);
	index_init(&n->addrs);
	n->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	n->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	epoll_add(n, n->listen_fd);
	epoll_add(n, n->wake_fd);
	return -pthread_create(&n->thread, NULL, net_main, n);
}

void peer_net_stop(struct peer_net *n)
{
	size_t i;

	__atomic_store_n(&n->stopping, true, __ATOMIC_RELEASE);
	wake_thread(n);
	pthread_join(n->thread, NULL);
	for (i = 0; i < n->conn_cap; i++)
		if (n->conns[i])
			close_conn(n, n->conns[i]);
	for (i = 0; i < n->addr_count; i++)
		free(n->addr_list[i]);
	free(n->addr_list);
	free(n->conns);
	index_finish(&n->by_host);
	index_finish(&n->addrs);
	close(n->listen_fd);
	close(n->epoll_fd);
	close(n->wake_fd);
}
