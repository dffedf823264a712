#define BOOST_TEST_MODULE mustardplank
#include <boost/test/unit_test.hpp>
