#ifndef ADAPTERS_ADDRESS_H
#define ADAPTERS_ADDRESS_H

#include <netinet/in.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * address_parse() - decode an IPv4 number and a port, IP:PORT
 * @out: may be NULL
 *
 * Return: 0, or -EINVAL.
 */
int address_parse(const char *text, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif

#endif
