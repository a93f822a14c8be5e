// The one main() that every test program links.
#define BOOST_TEST_MODULE egretswitch
#include <boost/test/unit_test.hpp>
