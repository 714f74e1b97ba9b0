#ifndef BASE_BUILD_INFO_H
#define BASE_BUILD_INFO_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct build_info - what a program was built from
 * @commit: abbreviated commit, with "-dirty" if the sources differ from it;
 *	"unknown" if they were not in a repository
 * @sources: digest of the paths and contents of the sources
 */
struct build_info {
	const char *commit;
	const char *sources;
};

extern const struct build_info build_info;

#ifdef __cplusplus
}
#endif

#endif
