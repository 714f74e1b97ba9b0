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

enum cut_off { CUT_OFF_YIELD, CUT_OFF_KEEP };

/**
 * struct service_doc - what one service needs and may do
 * @urgency: 0 is least; work of a higher urgency is placed first
 * @displaces: services whose tasks it may displace
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
 * @is_out: taken out by the operators; no task may start in it
 */
struct zone_doc {
	char region[NAME_SIZE];
	bool is_out;
	char (*racks)[NAME_SIZE];
	size_t rack_count;
};

/**
 * struct region_doc - the zones that share job shards
 * @job_shards: number of job streams; never changed after the first version
 */
struct region_doc {
	char (*zones)[NAME_SIZE];
	size_t zone_count;
	uint32_t job_shards;
};

/**
 * struct team_doc - limits of one team
 * @open_max: requests that may be open at once
 * @weight: share when owners compete
 */
struct team_doc {
	char owner[NAME_SIZE];
	uint32_t open_max;
	uint32_t weight;
};

/**
 * struct document - one document in one version
 * @version: from 1; a document is replaced only by its next version
 * @text: the JSON it was read from
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
 * struct validation_sink - receives every mistake of a document
 * @report: called with the path in the document and the reason
 */
struct validation_sink {
	void (*report)(void *ctx, const char *path, const char *reason);
	void *ctx;
};

/**
 * document_parse() - read and check one document
 * @text: JSON
 * @sink: receives the mistakes, or NULL
 *
 * Return: 0, or -EINVAL when there was any mistake; then nothing is to be
 * finished.
 */
int document_parse(struct document *d, struct str text,
		   const struct validation_sink *sink);
void document_finish(struct document *d);

const char *document_kind_name(enum document_kind kind);

/**
 * document_id() - identity of a kind and name
 */
uint64_t document_id(enum document_kind kind, const char *name);

/**
 * service_id() - identity of a service, which is that of its document
 */
uint64_t service_id(const char *name);

#ifdef __cplusplus
}
#endif

#endif
