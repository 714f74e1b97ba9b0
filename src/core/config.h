#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include "base/index.h"
#include "core/document.h"
#include "core/protection.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * CONFIG_STREAM - name of the log stream that operators publish documents to
 */
#define CONFIG_STREAM "config"

/**
 * struct config - the documents in force
 * @by_id: documents by document_id()
 * @docs: all documents, owned
 * @offset: next offset to read from the stream; it serves as the version of the
 *          whole configuration
 * @protections: bit set of enum protection
 */
struct config {
	struct index by_id;
	struct document **docs;
	size_t count;
	size_t cap;
	uint64_t offset;
	uint32_t protections;
};

void config_init(struct config *c);
void config_finish(struct config *c);

const struct document *config_get(const struct config *c,
				  enum document_kind kind, const char *name);

/**
 * config_apply() - apply one entry of the configuration stream
 * @offset: offset of the entry; an entry below config.offset is ignored
 * @body: a document, or a snapshot of documents
 *
 * A document comes into force only when its version directly follows the
 * version in force, so that of two operators who publish at the same time the
 * first in log order wins. A snapshot never lowers a version.
 *
 * Return: number of documents that came into force, or -EINVAL when @body is
 * neither a valid document nor a snapshot.
 */
int config_apply(struct config *c, uint64_t offset, struct str body);

/**
 * config_load() - apply a read of the configuration stream
 *
 * When unread entries are past the log's retention, the newest usable snapshot
 * in the read replaces them. Without such a snapshot nothing is applied.
 *
 * Return: number of documents that came into force.
 */
int config_load(struct config *c, const struct log_read *r);

/**
 * config_write_snapshot() - append a JSON snapshot of all documents
 *
 * The snapshot states the offset below which it covers every entry.
 */
void config_write_snapshot(const struct config *c, struct buf *out);

/**
 * config_is_zone_out() - test whether a zone is out of service or unknown
 */
bool config_is_zone_out(const struct config *c, const char *zone);

/**
 * config_service_region() - get the region of a service's first zone
 *
 * Return: the region, or NULL when the service has no zone, or when the zone or
 * its region is unknown.
 */
const struct document *config_service_region(const struct config *c,
					     const struct service_doc *s);

#ifdef __cplusplus
}
#endif

#endif
