#include "ports/cluster.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

/* Bytes of the frame that the store does not count as part of a record. */
#define RECORD_FRAME_BYTES 4

void store_record_add(struct buf *out, struct str key, struct str value)
{
	uint32_t len = htonl((uint32_t)(1 + key.len + value.len));
	unsigned char key_len = (unsigned char)key.len;

	buf_add(out, &len, sizeof(len));
	buf_add(out, &key_len, 1);
	buf_add(out, key.data, key.len);
	buf_add(out, value.data, value.len);
}

bool store_record_fits(size_t framed_bytes, size_t record_max,
		       size_t append_max)
{
	return (!record_max ||
		framed_bytes - RECORD_FRAME_BYTES <= record_max) &&
	       (!append_max || framed_bytes <= append_max);
}

int store_record_take(struct str *rest, struct store_record *out)
{
	uint32_t len;
	size_t key;

	if (!rest->len)
		return -ENOENT;
	if (rest->len < sizeof(len))
		return -EBADMSG;
	memcpy(&len, rest->data, sizeof(len));
	len = ntohl(len);
	if (len > rest->len - sizeof(len))
		return -EBADMSG;
	key = len ? (unsigned char)rest->data[sizeof(len)] : 0;
	memset(out, 0, sizeof(*out));
	if (key + 1 <= len) {
		out->key.data = rest->data + sizeof(len) + 1;
		out->key.len = key;
		out->value.data = out->key.data + key;
		out->value.len = len - 1 - key;
	}
	rest->data += sizeof(len) + len;
	rest->len -= sizeof(len) + len;
	return key + 1 <= len ? 0 : -EPROTO;
}

bool store_records_valid(struct str records)
{
	struct store_record r;
	int err;

	if (!records.len)
		return false;
	do {
		err = store_record_take(&records, &r);
	} while (!err);
	return err == -ENOENT;
}

size_t store_records_fitting(struct str records, size_t max)
{
	struct str rest = records;
	struct store_record r;
	size_t fitting = 0;

	if (records.len <= max)
		return records.len;
	while (store_record_take(&rest, &r) != -EBADMSG) {
		if (records.len - rest.len > max)
			break;
		fitting = records.len - rest.len;
	}
	return fitting;
}
