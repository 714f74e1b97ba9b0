#ifndef CORE_DOCUMENT_H
#define CORE_DOCUMENT_H

#include "core/msg.h"

#ifdef __cplusplus
extern "C" {
#endif

#define DOCUMENT_ZONES_MAX 24
#define DOCUMENT_RACKS_MAX 160
#define DOCUMENT_DISPLACE_MAX 16
#define SERVICE_URGENCY_MAX 9

enum document_kind {
	DOCUMENT_SERVICE,
	DOCUMENT_ZONE,
	DOCUMENT_REGION,
	DOCUMENT_TEAM,
	DOCUMENT_KIND_MAX,
};

/**
 * enum cut_off - policy for a task whose rack owner cannot read the log
 */
enum cut_off {
	CUT_OFF_YIELD, /* the lease is no longer renewed */
	CUT_OFF_KEEP,  /* the lease is still renewed */
};

/**
 * struct service_doc - requirements and permissions of one service
 * @urgency: from 0, the lowest; tasks of a higher urgency are placed first
 * @displaces: services whose tasks it may preempt (key may_displace)
 */
struct service_doc {
	char owner[NAME_SIZE];
	char team[NAME_SIZE];
	bool latency_critical;
	bool idempotent;
	uint32_t urgency;
	struct resources res;
	int64_t deadline_ms;
	int64_t lease_ms;
	int64_t checkpoint_ms;
	int64_t run_ms;
	int64_t latency_target_ms;
	enum cut_off when_cut_off;
	char (*zones)[NAME_SIZE];
	size_t zone_count;
	char (*displaces)[NAME_SIZE];
	size_t displace_count;
};

/**
 * struct zone_doc - one availability zone
 * @is_out: taken out of service by the operators; no task may start in it
 */
struct zone_doc {
	char region[NAME_SIZE];
	bool is_out;
	char (*racks)[NAME_SIZE];
	size_t rack_count;
};

/**
 * struct region_doc - zones that share job shards
 * @job_shards: number of job streams; fixed by the first version
 */
struct region_doc {
	char (*zones)[NAME_SIZE];
	size_t zone_count;
	uint32_t job_shards;
};

/**
 * struct team_doc - limits of one team
 * @open_max: largest number of active jobs at once
 * @weight: relative share of the team; the scheduler does not use it
 */
struct team_doc {
	char owner[NAME_SIZE];
	uint32_t open_max;
	uint32_t weight;
};

/**
 * struct document - one version of a document
 * @version: from 1; it is replaced by the next version, or by a later one that
 *           a snapshot holds
 * @text: JSON source of the document
 * @memory: holds @text and the lists of the document
 */
struct document {
	uint64_t id;
	enum document_kind kind;
	char name[NAME_SIZE];
	uint64_t version;
	struct str text;
	struct arena memory;
	union {
		struct service_doc service;
		struct zone_doc zone;
		struct region_doc region;
		struct team_doc team;
	};
};

/**
 * struct validation_sink - receives every validation error of a document
 * @report: called with the path within the document and the reason
 */
struct validation_sink {
	void (*report)(void *ctx, const char *path, const char *reason);
	void *ctx;
};

/**
 * document_parse() - parse and validate one document
 * @text: JSON source
 * @sink: receives the validation errors, or NULL
 *
 * Return: 0, or -EINVAL when the document is invalid; the caller then does not
 * call document_finish().
 */
int document_parse(struct document *d, struct str text,
		   const struct validation_sink *sink);
void document_finish(struct document *d);

const char *document_kind_name(enum document_kind kind);

/**
 * document_id() - hash a kind and a name to the id of the document
 */
uint64_t document_id(enum document_kind kind, const char *name);

/**
 * service_id() - get the id of a service, which is that of its document
 */
uint64_t service_id(const char *name);

#ifdef __cplusplus
}
#endif

#endif
