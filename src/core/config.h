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
 * CONFIG_STREAM - name of the operators' stream
 */
#define CONFIG_STREAM "config"

/**
 * struct config - the documents in force
 * @offset: next offset of the stream; the version of the whole
 * @protections: set of enum protection
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
 * config_apply() - take in one entry of the operators' stream
 * @offset: its offset; an entry below config.offset is ignored
 * @body: a document, or a snapshot of documents
 *
 * A document is taken only when its version is the one after the version in
 * force, so that of two racing operators the first in log order wins. A
 * snapshot never lowers a version.
 *
 * Return: 1 when a document came into force, 0 when not, or -EINVAL.
 */
int config_apply(struct config *c, uint64_t offset, struct str body);

/**
 * config_load() - take in a read of the stream
 *
 * Starts from the newest snapshot in the read that can be used when entries
 * before it are lost.
 *
 * Return: number of documents that came into force.
 */
int config_load(struct config *c, const struct log_read *r);

/**
 * config_write_snapshot() - JSON text of all documents and the offset covered
 */
void config_write_snapshot(const struct config *c, struct buf *out);

/**
 * config_is_zone_out() - true when the zone is taken out or not known
 */
bool config_is_zone_out(const struct config *c, const char *zone);

/**
 * config_service_region() - region of a service's first zone, or NULL
 */
const struct document *config_service_region(const struct config *c,
					     const struct service_doc *s);

#ifdef __cplusplus
}
#endif

#endif
