#include "ports/cluster.h"

#include <arpa/inet.h>

void store_record_add(struct buf *out, struct str key, struct str value)
{
	uint32_t len = htonl((uint32_t)(1 + key.len + value.len));
	unsigned char key_len = (unsigned char)key.len;

	buf_add(out, &len, sizeof(len));
	buf_add(out, &key_len, 1);
	buf_add(out, key.data, key.len);
	buf_add(out, value.data, value.len);
}
