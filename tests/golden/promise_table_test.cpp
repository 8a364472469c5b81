#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace
{

const std::filesystem::path root = ACACIASTILE_SOURCE_DIR;

std::string read(const std::filesystem::path& path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Cells of one row of a table, without the outer bars.
std::vector<std::string> cells_of(const std::string& row)
{
    std::vector<std::string> cells;
    std::stringstream in(row.substr(1));
    std::string cell;
    while (std::getline(in, cell, '|'))
    {
        cells.push_back(cell);
    }
    return cells;
}

/// Rows of the first table of the page, without its head.
std::vector<std::vector<std::string>> promise_rows()
{
    std::vector<std::vector<std::string>> rows;
    std::stringstream page(read(root / "docs/PROMISES.md"));
    std::string line;
    while (std::getline(page, line))
    {
        if (line.starts_with("| ") && !line.starts_with("| Promise") &&
            !line.starts_with("| ---"))
        {
            rows.push_back(cells_of(line));
        }
    }
    return rows;
}

std::set<std::string> test_names()
{
    std::set<std::string> names;
    const std::regex pattern("TEST_CASE\\(\\s*\"([^\"]+)\"");
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(root / "tests"))
    {
        if (entry.path().extension() != ".cpp")
        {
            continue;
        }
        const std::string text = read(entry.path());
        for (std::sregex_iterator at(text.begin(), text.end(), pattern), end;
             at != end;
             ++at)
        {
            names.insert((*at)[1]);
        }
    }
    return names;
}

std::vector<std::string> quoted(const std::string& cell)
{
    std::vector<std::string> names;
    const std::regex pattern("`([^`]+)`");
    for (std::sregex_iterator at(cell.begin(), cell.end(), pattern), end;
         at != end;
         ++at)
    {
        names.push_back((*at)[1]);
    }
    return names;
}

} // namespace

TEST_CASE("the promise table has ten rows and no empty cell", "[docs]")
{
    constexpr std::size_t columns = 5;
    const auto rows = promise_rows();
    CHECK(rows.size() == 10);
    for (const auto& row : rows)
    {
        REQUIRE(row.size() == columns);
        for (const std::string& cell : row)
        {
            CHECK(cell.find_first_not_of(' ') != std::string::npos);
        }
    }
}

TEST_CASE("the promise table names tests and files that exist", "[docs]")
{
    const std::set<std::string> known = test_names();
    const std::regex source("src/[a-z_/]+(\\.cpp)?");
    for (const auto& row : promise_rows())
    {
        const std::string code = row.at(2);
        for (std::sregex_iterator at(code.begin(), code.end(), source), end;
             at != end;
             ++at)
        {
            INFO(at->str());
            CHECK(std::filesystem::exists(root / at->str()));
        }
        const std::vector<std::string> names = quoted(row.at(3));
        CHECK_FALSE(names.empty());
        for (const std::string& name : names)
        {
            INFO(name);
            CHECK(known.contains(name));
        }
    }
}
