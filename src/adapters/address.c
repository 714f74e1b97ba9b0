#include "adapters/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define PORT_DIGITS_MAX 5
#define PORT_MAX 65535

/* Return: 0 if @text is not the number of a port. */
static in_port_t port_parse(const char *text)
{
	size_t digits = strspn(text, "0123456789");
	unsigned long port;

	if (!digits || digits > PORT_DIGITS_MAX || text[digits])
		return 0;
	port = strtoul(text, NULL, 10);
	return port <= PORT_MAX ? (in_port_t)port : 0;
}

int address_parse(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in sin;
	in_port_t port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -EINVAL;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = port_parse(colon + 1);
	memset(&sin, 0, sizeof(sin));
	sin.sin_family = AF_INET;
	sin.sin_port = htons(port);
	if (!port || inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return -EINVAL;
	if (out)
		*out = sin;
	return 0;
}
