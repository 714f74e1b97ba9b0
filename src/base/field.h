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
 * struct list - a counted array of structures
 */
struct list {
	void *items;
	size_t count;
};

/**
 * struct shape - the fields of one structure, as rows
 * @rows: one row per field; a row's place is its tag in msgpack
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
 * @type: how it is stored
 * @offset: place in the structure, in bytes
 * @item: shape of the items of a FIELD_LIST
 */
struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	const struct shape *item;
};

/**
 * FIELD_OF() - row of one field, named as the member is
 * @kind: U32, U64, I64, NAME or STR
 * @object: its struct, without the keyword
 */
#define FIELD_OF(kind, object, member)                    \
	{                                                 \
		.name = #member, .type = FIELD_##kind,    \
		.offset = offsetof(struct object, member) \
	}

/**
 * FIELD_LIST_OF() - row of a list of structures
 * @items: their shape
 */
#define FIELD_LIST_OF(object, member, items)                               \
	{                                                                  \
		.name = #member, .type = FIELD_LIST,                       \
		.offset = offsetof(struct object, member), .item = (items) \
	}

/**
 * SHAPE_OF() - shape of a struct from its array of rows
 */
#define SHAPE_OF(array, object)                                               \
	{                                                                     \
		.rows = (array), .count = sizeof(array) / sizeof((array)[0]), \
		.size = sizeof(struct object)                                 \
	}

/**
 * FIELD_LIST_MAX - most items that a decoded list may hold
 */
#define FIELD_LIST_MAX 65535

/**
 * shape_to_json() - JSON object of a structure; zero fields are left out
 */
json_t *shape_to_json(const struct shape *s, const void *obj);

/**
 * shape_from_json() - fill a structure from a JSON object
 * @a: holds the strings and lists of @obj
 *
 * Unknown keys are ignored. Return: 0, or -EINVAL on a wrong type.
 */
int shape_from_json(const struct shape *s, const json_t *j, void *obj,
		    struct arena *a);

/**
 * shape_pack() - msgpack map of tag to value; zero fields are left out
 */
void shape_pack(const struct shape *s, const void *obj, msgpack_packer *pk);

/**
 * shape_unpack() - fill a structure from a msgpack map
 *
 * Unknown tags are ignored. Return: 0, or -EINVAL on a wrong type.
 */
int shape_unpack(const struct shape *s, const msgpack_object *o, void *obj,
		 struct arena *a);

/**
 * shape_write() - append the msgpack text of a structure
 */
void shape_write(const struct shape *s, const void *obj, struct buf *out);

/**
 * shape_read() - fill a structure from the text of shape_write()
 * @a: holds the strings and lists of @obj
 *
 * Return: 0, or -EBADMSG.
 */
int shape_read(const struct shape *s, struct str text, void *obj,
	       struct arena *a);

#ifdef __cplusplus
}
#endif

#endif
