#include "base/build_info.h"

#include "build_info_text.h"

const struct build_info build_info = {BUILD_COMMIT, BUILD_SOURCES};
