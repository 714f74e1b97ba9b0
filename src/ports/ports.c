#include "ports/ports.h"

#define H(kind, member) FIELD_OF(kind, listed_host, member)

static const struct field host_rows[] = {
	H(NAME, name), H(NAME, zone), H(NAME, rack),   H(NAME, addr),
	H(NAME, http), H(U32, role),  H(U32, leaving),
};

const struct shape host_shape = {host_rows,
				 sizeof(host_rows) / sizeof(host_rows[0]),
				 sizeof(struct listed_host)};
