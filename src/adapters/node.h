#ifndef ADAPTERS_NODE_H
#define ADAPTERS_NODE_H

#include "adapters/http_server.h"
#include "adapters/log_http.h"
#include "adapters/peer_net.h"
#include "base/event.h"
#include "base/setting.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Settings common to all daemons. */
#define NODE_SETTINGS                                                      \
	{"name",                                                           \
	 "name",                                                           \
	 SETTING_TEXT,                                                     \
	 0,                                                                \
	 NAME_SIZE - 1,                                                    \
	 "",                                                               \
	 "name of this host in the platform's list",                       \
	 true},                                                            \
		{"zone",                                                   \
		 "name",                                                   \
		 SETTING_TEXT,                                             \
		 0,                                                        \
		 NAME_SIZE - 1,                                            \
		 "",                                                       \
		 "availability zone that this host is in",                 \
		 true},                                                    \
		{"listen",                                                 \
		 "address",                                                \
		 SETTING_TEXT,                                             \
		 0,                                                        \
		 15,                                                       \
		 "127.0.0.1",                                              \
		 "IP address to listen on",                                \
		 true},                                                    \
		{"port",                                                   \
		 "port",                                                   \
		 SETTING_NUMBER,                                           \
		 0,                                                        \
		 65535,                                                    \
		 "0",                                                      \
		 "port for the other processes; 0 lets the system choose", \
		 false},                                                   \
		{"http-port",                                              \
		 "port",                                                   \
		 SETTING_NUMBER,                                           \
		 0,                                                        \
		 65535,                                                    \
		 "0",                                                      \
		 "port for HTTP; 0 lets the system choose",                \
		 false},                                                   \
		{"platform",                                               \
		 "URL",                                                    \
		 SETTING_TEXT,                                             \
		 0,                                                        \
		 200,                                                      \
		 "",                                                       \
		 "base URL of the platform's service",                     \
		 true},                                                    \
		{"port-file",                                              \
		 "path",                                                   \
		 SETTING_TEXT,                                             \
		 0,                                                        \
		 200,                                                      \
		 "",                                                       \
		 "file that receives both ports once they are bound",      \
		 false},                                                   \
		{"log-level",                                              \
		 "level",                                                  \
		 SETTING_TEXT,                                             \
		 0,                                                        \
		 5,                                                        \
		 "info",                                                   \
		 "lowest level logged: debug, info, warn or error",        \
		 true},                                                    \
	{                                                                  \
		"log-format", "format", SETTING_TEXT, 0, 6, "logfmt",      \
			"format of log lines: logfmt or json", true        \
	}

struct node;

/**
 * struct node_ops - handlers of a daemon's inputs, called with node.lock held
 * @drain: begins a planned shutdown, after SIGTERM or SIGINT
 * @drained: tests whether the shutdown is complete, so that the process can end
 * @ready: result of the readiness probe
 * @status: appends the status as JSON
 * @http: handles a request; returns false, without a reply, for a path that it
 *        does not serve
 */
struct node_ops {
	void (*tick)(void *ctx, int64_t now_ms);
	void (*message)(void *ctx, int64_t now_ms, const struct msg *m);
	void (*append)(void *ctx, int64_t now_ms, uint64_t token,
		       enum log_status status, uint64_t offset);
	void (*read)(void *ctx, int64_t now_ms, uint64_t token,
		     const struct log_read *r);
	void (*hosts)(void *ctx, int64_t now_ms,
		      const struct listed_host *hosts, size_t count);
	void (*hosts_unchanged)(void *ctx, int64_t now_ms);
	void (*drain)(void *ctx, int64_t now_ms);
	bool (*drained)(void *ctx);
	bool (*ready)(void *ctx);
	void (*status)(void *ctx, struct buf *out);
	bool (*http)(void *ctx, int64_t now_ms, struct http_request *r);
};

/**
 * struct node - one daemon: adapters, threads and the lock of its core
 * @incarnation: id that differs at every start of the process
 */
struct node {
	const struct node_ops *ops;
	void *ctx;
	pthread_mutex_t lock; /* LOCK_CORE */
	struct event_log events;
	struct peer_net net;
	struct log_http log;
	struct http_server http;
	struct ports ports;
	uint64_t incarnation;
	bool started;
};

/**
 * node_init() - set up the ports for a core, without starting anything
 */
void node_init(struct node *n, const struct settings *s);

/**
 * node_run() - open sockets, serve until SIGTERM or SIGINT, drain and close
 * @body_max: limit on the content of a request, bytes
 *
 * Return: the exit code of the process.
 */
int node_run(struct node *n, const struct settings *s,
	     const struct node_ops *ops, void *ctx, size_t body_max);
void node_finish(struct node *n);

#ifdef __cplusplus
}
#endif

#endif
