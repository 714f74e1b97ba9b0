#include "base/field.h"

#include <errno.h>

static bool field_is_zero(const struct field *f, const void *p)
{
	switch (f->type) {
	case FIELD_U32:
		return !*(const uint32_t *)p;
	case FIELD_U64:
	case FIELD_I64:
		return !*(const uint64_t *)p;
	case FIELD_NAME:
		return !*(const char *)p;
	case FIELD_STR:
		return !((const struct str *)p)->len;
	case FIELD_LIST:
		return !((const struct list *)p)->count;
	}
	return true;
}

static json_t *list_to_json(const struct shape *item, const struct list *l)
{
	json_t *arr = json_array();
	size_t i;

	for (i = 0; i < l->count; i++)
		json_array_append_new(arr,
				      shape_to_json(item,
						    (const char *)l->items +
							    i * item->size));
	return arr;
}

static json_t *field_to_json(const struct field *f, const void *p)
{
	const struct str *s;

	switch (f->type) {
	case FIELD_U32:
		return json_integer(*(const uint32_t *)p);
	case FIELD_U64:
	case FIELD_I64:
		return json_integer(*(const json_int_t *)p);
	case FIELD_NAME:
		return json_string(p);
	case FIELD_STR:
		s = p;
		return json_stringn(s->data, s->len);
	case FIELD_LIST:
		return list_to_json(f->item, p);
	}
	return NULL;
}

json_t *shape_to_json(const struct shape *s, const void *obj)
{
	json_t *j = json_object();
	size_t i;

	for (i = 0; i < s->count; i++) {
		const struct field *f = &s->rows[i];
		const void *p = (const char *)obj + f->offset;

		if (!field_is_zero(f, p))
			json_object_set_new(j, f->name, field_to_json(f, p));
	}
	return j;
}

static int list_from_json(const struct shape *item, const json_t *j,
			  struct list *l, struct arena *a)
{
	size_t i;
	int err;

	if (!json_is_array(j) || json_array_size(j) > FIELD_LIST_MAX)
		return -EINVAL;
	l->count = json_array_size(j);
	l->items = arena_alloc(a, l->count * item->size);
	for (i = 0; i < l->count; i++) {
		err = shape_from_json(item, json_array_get(j, i),
				      (char *)l->items + i * item->size, a);
		if (err)
			return err;
	}
	return 0;
}

static int field_from_json(const struct field *f, const json_t *j, void *p,
			   struct arena *a)
{
	switch (f->type) {
	case FIELD_U32:
		if (!json_is_integer(j) || json_integer_value(j) < 0 ||
		    json_integer_value(j) > UINT32_MAX)
			return -EINVAL;
		*(uint32_t *)p = (uint32_t)json_integer_value(j);
		return 0;
	case FIELD_U64:
	case FIELD_I64:
		if (!json_is_integer(j))
			return -EINVAL;
		*(json_int_t *)p = json_integer_value(j);
		return 0;
	case FIELD_NAME:
		if (!json_is_string(j))
			return -EINVAL;
		return name_set(p, json_string_value(j));
	case FIELD_STR:
		if (!json_is_string(j))
			return -EINVAL;
		*(struct str *)p = arena_str(a, json_string_value(j),
					     json_string_length(j));
		return 0;
	case FIELD_LIST:
		return list_from_json(f->item, j, p, a);
	}
	return -EINVAL;
}

int shape_from_json(const struct shape *s, const json_t *j, void *obj,
		    struct arena *a)
{
	size_t i;
	int err;

	if (!json_is_object(j))
		return -EINVAL;
	for (i = 0; i < s->count; i++) {
		const struct field *f = &s->rows[i];
		const json_t *v = json_object_get(j, f->name);

		if (!v)
			continue;
		err = field_from_json(f, v, (char *)obj + f->offset, a);
		if (err)
			return err;
	}
	return 0;
}

static void field_pack(const struct field *f, const void *p, msgpack_packer *pk)
{
	const struct list *l;
	const struct str *s;
	size_t i, n;

	switch (f->type) {
	case FIELD_U32:
		msgpack_pack_uint32(pk, *(const uint32_t *)p);
		break;
	case FIELD_U64:
		msgpack_pack_uint64(pk, *(const uint64_t *)p);
		break;
	case FIELD_I64:
		msgpack_pack_int64(pk, *(const int64_t *)p);
		break;
	case FIELD_NAME:
		n = strlen(p);
		msgpack_pack_str(pk, n);
		msgpack_pack_str_body(pk, p, n);
		break;
	case FIELD_STR:
		s = p;
		msgpack_pack_str(pk, s->len);
		msgpack_pack_str_body(pk, s->data, s->len);
		break;
	case FIELD_LIST:
		l = p;
		msgpack_pack_array(pk, l->count);
		for (i = 0; i < l->count; i++)
			shape_pack(f->item,
				   (const char *)l->items + i * f->item->size,
				   pk);
		break;
	}
}

void shape_pack(const struct shape *s, const void *obj, msgpack_packer *pk)
{
	size_t i, n = 0;

	for (i = 0; i < s->count; i++)
		n += !field_is_zero(&s->rows[i],
				    (const char *)obj + s->rows[i].offset);
	msgpack_pack_map(pk, n);
	for (i = 0; i < s->count; i++) {
		const struct field *f = &s->rows[i];
		const void *p = (const char *)obj + f->offset;

		if (field_is_zero(f, p))
			continue;
		msgpack_pack_uint32(pk, (uint32_t)i);
		field_pack(f, p, pk);
	}
}

static int list_unpack(const struct shape *item, const msgpack_object *o,
		       struct list *l, struct arena *a)
{
	size_t i;
	int err;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size > FIELD_LIST_MAX)
		return -EINVAL;
	l->count = o->via.array.size;
	l->items = arena_alloc(a, l->count * item->size);
	for (i = 0; i < l->count; i++) {
		err = shape_unpack(item, &o->via.array.ptr[i],
				   (char *)l->items + i * item->size, a);
		if (err)
			return err;
	}
	return 0;
}

static int field_unpack(const struct field *f, const msgpack_object *o, void *p,
			struct arena *a)
{
	bool is_uint = o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;

	switch (f->type) {
	case FIELD_U32:
		if (!is_uint || o->via.u64 > UINT32_MAX)
			return -EINVAL;
		*(uint32_t *)p = (uint32_t)o->via.u64;
		return 0;
	case FIELD_U64:
		if (!is_uint)
			return -EINVAL;
		*(uint64_t *)p = o->via.u64;
		return 0;
	case FIELD_I64:
		if (!is_uint && o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
			return -EINVAL;
		*(int64_t *)p = o->via.i64;
		return 0;
	case FIELD_NAME:
		if (o->type != MSGPACK_OBJECT_STR ||
		    o->via.str.size >= NAME_SIZE)
			return -EINVAL;
		if (o->via.str.size)
			memcpy(p, o->via.str.ptr, o->via.str.size);
		((char *)p)[o->via.str.size] = '\0';
		return 0;
	case FIELD_STR:
		if (o->type != MSGPACK_OBJECT_STR)
			return -EINVAL;
		*(struct str *)p =
			arena_str(a, o->via.str.ptr, o->via.str.size);
		return 0;
	case FIELD_LIST:
		return list_unpack(f->item, o, p, a);
	}
	return -EINVAL;
}

int shape_unpack(const struct shape *s, const msgpack_object *o, void *obj,
		 struct arena *a)
{
	uint32_t i;
	int err;

	if (o->type != MSGPACK_OBJECT_MAP)
		return -EINVAL;
	for (i = 0; i < o->via.map.size; i++) {
		const msgpack_object_kv *kv = &o->via.map.ptr[i];
		const struct field *f;

		if (kv->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return -EINVAL;
		if (kv->key.via.u64 >= s->count)
			continue;
		f = &s->rows[kv->key.via.u64];
		err = field_unpack(f, &kv->val, (char *)obj + f->offset, a);
		if (err)
			return err;
	}
	return 0;
}

void shape_write(const struct shape *s, const void *obj, struct buf *out)
{
	msgpack_sbuffer sb;
	msgpack_packer pk;

	msgpack_sbuffer_init(&sb);
	msgpack_packer_init(&pk, &sb, msgpack_sbuffer_write);
	shape_pack(s, obj, &pk);
	buf_add(out, sb.data, sb.size);
	msgpack_sbuffer_destroy(&sb);
}

/* Size of a msgpack item after its type byte, in bytes; elements not counted.
 */
static size_t item_bytes(unsigned char type, const char *p, size_t left)
{
	static const uint8_t fixed[] = {
		[0xca - 0xc0] = 4, [0xcb - 0xc0] = 8, [0xcc - 0xc0] = 1,
		[0xcd - 0xc0] = 2, [0xce - 0xc0] = 4, [0xcf - 0xc0] = 8,
		[0xd0 - 0xc0] = 1, [0xd1 - 0xc0] = 2, [0xd2 - 0xc0] = 4,
		[0xd3 - 0xc0] = 8, [0xd4 - 0xc0] = 2, [0xd5 - 0xc0] = 3,
		[0xd6 - 0xc0] = 5, [0xd7 - 0xc0] = 9, [0xd8 - 0xc0] = 17,
		[0xdc - 0xc0] = 2, [0xdd - 0xc0] = 4, [0xde - 0xc0] = 2,
		[0xdf - 0xc0] = 4,
	};
	size_t size, i, n = 0;

	if (type >= 0xa0 && type <= 0xbf)
		return type & 0x1f;
	if (type < 0xc0 || type >= 0xe0)
		return 0;
	if (fixed[type - 0xc0])
		return fixed[type - 0xc0];
	if (type >= 0xd9 && type <= 0xdb)
		size = (size_t)1 << (type - 0xd9);
	else if (type >= 0xc4 && type <= 0xc6)
		size = (size_t)1 << (type - 0xc4);
	else
		return 0;
	for (i = 0; i < size && i < left; i++)
		n = n << 8 | (unsigned char)p[i];
	return size + n;
}

/*
 * msgpack-c allocates by the count that a list states before it has read an
 * element, so that a short message could make it allocate far too much. No list
 * in a valid message has a count of four bytes. Nor has one an extension of
 * variable size (0xc7 to 0xc9), whose size item_bytes() does not read.
 */
static bool has_valid_counts(const char *data, size_t len)
{
	size_t i = 0;

	while (i < len) {
		unsigned char type = (unsigned char)data[i++];

		if (type == 0xdd || type == 0xdf ||
		    (type >= 0xc7 && type <= 0xc9))
			return false;
		i += item_bytes(type, data + i, len - i);
	}
	return i == len;
}

int shape_read(const struct shape *s, struct str encoded, void *obj,
	       struct arena *a)
{
	msgpack_unpacked u;
	int err = -EBADMSG;
	size_t off = 0;

	if (!has_valid_counts(encoded.data, encoded.len))
		return -EBADMSG;
	msgpack_unpacked_init(&u);
	if (msgpack_unpack_next(&u, encoded.data, encoded.len, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == encoded.len && !shape_unpack(s, &u.data, obj, a))
		err = 0;
	msgpack_unpacked_destroy(&u);
	return err;
}
