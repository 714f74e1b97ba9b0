#ifndef BASE_FIELD_H
#define BASE_FIELD_H

#include <jansson.h>
#include <msgpack.h>

#include "base/buf.h"

#ifdef __cplusplus
extern "C" {
#endif

enum field_type {
	FIELD_U32,
	FIELD_U64,
	FIELD_I64,
	FIELD_NAME, /* char[NAME_SIZE] */
	FIELD_STR,  /* struct str */
	FIELD_LIST, /* struct list */
};

/**
 * struct list - array of structures with its length
 */
struct list {
	void *items;
	size_t count;
};

/**
 * struct shape - schema of a structure: how its fields are encoded
 * @rows: one row per field; the row's index is the field's tag in msgpack, so
 *        rows are never moved, inserted or removed
 * @count: number of rows
 * @size: size of the structure, in bytes
 */
struct shape {
	const struct field *rows;
	size_t count;
	size_t size;
};

/**
 * struct field - one field of a structure
 * @name: key in JSON
 * @type: C type of the member
 * @offset: offset in the structure, in bytes
 * @item: shape of the items of a FIELD_LIST
 */
struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	const struct shape *item;
};

/**
 * FIELD_OF() - define the row of a field; the JSON key is the member's name
 * @kind: U32, U64, I64, NAME or STR
 * @object: tag of the struct
 */
#define FIELD_OF(kind, object, member)                    \
	{                                                 \
		.name = #member, .type = FIELD_##kind,    \
		.offset = offsetof(struct object, member) \
	}

/**
 * FIELD_LIST_OF() - define the row of a list of structures
 * @items: shape of the list's items
 */
#define FIELD_LIST_OF(object, member, items)                               \
	{                                                                  \
		.name = #member, .type = FIELD_LIST,                       \
		.offset = offsetof(struct object, member), .item = (items) \
	}

/**
 * SHAPE_OF() - define the shape of a struct from its array of rows
 */
#define SHAPE_OF(array, object)                                               \
	{                                                                     \
		.rows = (array), .count = sizeof(array) / sizeof((array)[0]), \
		.size = sizeof(struct object)                                 \
	}

/**
 * FIELD_LIST_MAX - maximum number of items in a decoded list
 */
#define FIELD_LIST_MAX 65535

/**
 * shape_to_json() - encode a structure as a JSON object
 *
 * Fields that are zero or empty are left out. The caller owns the result.
 */
json_t *shape_to_json(const struct shape *s, const void *obj);

/**
 * shape_from_json() - decode a JSON object into a structure
 * @obj: absent fields keep their value, so callers normally zero it
 * @a: arena that holds the strings and lists of @obj
 *
 * Unknown keys are ignored.
 *
 * Return: 0; -EINVAL if a value has the wrong type or is out of range, or a
 * list is longer than FIELD_LIST_MAX; -ENAMETOOLONG if a name does not fit. On
 * an error, @obj may be partly filled.
 */
int shape_from_json(const struct shape *s, const json_t *j, void *obj,
		    struct arena *a);

/**
 * shape_pack() - encode a structure as a msgpack map from tag to value
 *
 * Fields that are zero or empty are left out.
 */
void shape_pack(const struct shape *s, const void *obj, msgpack_packer *pk);

/**
 * shape_unpack() - decode a msgpack map into a structure
 * @obj: absent fields keep their value, so callers normally zero it
 * @a: arena that holds the strings and lists of @obj
 *
 * Unknown tags are ignored.
 *
 * Return: 0, or -EINVAL if a value has the wrong type or is out of range, a
 * name does not fit, or a list is longer than FIELD_LIST_MAX. On an error, @obj
 * may be partly filled.
 */
int shape_unpack(const struct shape *s, const msgpack_object *o, void *obj,
		 struct arena *a);

/**
 * shape_write() - append the msgpack encoding of a structure
 */
void shape_write(const struct shape *s, const void *obj, struct buf *out);

/**
 * shape_read() - decode a structure that shape_write() encoded
 * @encoded: msgpack bytes
 * @obj: absent fields keep their value, so callers normally zero it
 * @a: arena that holds the strings and lists of @obj
 *
 * Return: 0, or -EBADMSG if the bytes are truncated or malformed.
 */
int shape_read(const struct shape *s, struct str encoded, void *obj,
	       struct arena *a);

#ifdef __cplusplus
}
#endif

#endif
