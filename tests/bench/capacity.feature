Feature: The capacity page holds only measured figures

  Scenario: The page is the rendering of the file
    # Guards against figures that were not measured: the page was changed by
    # hand, or the file was measured again and the page not rendered.
    When the page is rendered from the committed file
    Then it equals the committed page

  Scenario: The file is complete
    When the committed file is read
    Then every slope has at least 4 sizes, its units, its fit and its residual
    And every slope that the page names is in the file

  Scenario: Lines are fitted by least squares
    When a line is fitted through "0:1 1:3 2:5 3:7"
    Then its slope is 2, its intercept 1 and its residual 0

  Scenario: The page's arithmetic follows the file
    # Doubling a slope must double the figures that depend on it alone.
    When the slope "router_cpu_by_events" is doubled
    Then the cores for events double and the memory of control stays
